package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

const settle = 2 * time.Second

func (d *demo) setStoreFaults(body string) error {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(consts.MethodPut)
	request.SetRequestURI(fmt.Sprintf("http://%s:%d/faults", loopback, d.basePort))
	request.SetBodyString(body)
	return d.load.http.Do(context.Background(), request, response)
}

// stopGracefully stops a VM by plan: the target withdraws, then the daemon
// drains.
func (d *demo) stopGracefully() error {
	time.Sleep(settle)
	v := d.vms[2] // the old catalogue of the first domain
	targetErr := v.target.Stop()
	v.dead = true // callers learn of it by "Connection: close"
	time.Sleep(100 * time.Millisecond)
	daemonErr := v.daemon.Stop()
	cut, err := drainedCut(v.daemon.Log)
	if err != nil {
		return err
	}
	d.say("VM %s stopped by plan", v.name)
	d.table.add("a planned stop cuts no call", targetErr == nil && daemonErr == nil && cut == 0,
		"%d cut, exits: target %v, daemon %v", cut, exitText(targetErr), exitText(daemonErr))
	return nil
}

// sayMemory prints the resident memory of the daemons, with their call path.
func (d *demo) sayMemory() {
	var sum, largest, n int
	for _, v := range d.vms {
		if !v.daemon.Running() {
			continue
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.daemon.PID()))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(status)) {
			var kilobytes int
			if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
				sum, largest, n = sum+kilobytes, max(largest, kilobytes), n+1
			}
		}
	}
	if n > 0 {
		d.say("resident memory of a daemon: %.1f MB on average, %.1f MB at most", float64(sum)/float64(n)/1e3, float64(largest)/1e3)
	}
}

func exitText(err error) string {
	if err == nil {
		return "0"
	}
	return err.Error()
}

// drainedCut reads the number of cut calls from a daemon's log.
func drainedCut(file string) (int, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		var entry struct {
			Msg string `json:"msg"`
			Cut int    `json:"cut"`
		}
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "daemon_drained" {
			return entry.Cut, nil
		}
	}
	return 0, fmt.Errorf("%s has no daemon_drained event", filepath.Base(file))
}

// count ends the load and compares what callers were told with what ran.
func (d *demo) count() error {
	d.sayMemory()
	d.load.end()
	runs, err := d.load.runs()
	if err != nil {
		return err
	}
	twice, lost, falseNotRun, answered := 0, 0, 0, 0
	killed := d.vms[len(kinds)].address(portTarget)
	for _, o := range d.load.orders {
		switch {
		case runs[o.id] > 1:
			twice++
		case o.answered && runs[o.id] == 0 && o.target != killed:
			lost++
		case o.notRun && runs[o.id] > 0:
			falseNotRun++
		}
		if o.answered {
			answered++
		}
	}
	l := d.load
	d.table.add("an order runs at most once", twice == 0, "%d of %d orders ran twice", twice, len(l.orders))
	d.table.add("an answered order was run", lost == 0, "%d of %d answered orders are missing", lost, answered)
	d.table.add("\"not run\" is true", falseNotRun == 0, "%d false of %d refused", falseNotRun, l.refused.Load())
	d.table.add("every answer is the caller's own", l.wrong.Load() == 0, "%d wrong of %d lookups and %d orders",
		l.wrong.Load(), l.lookupsOK.Load(), answered)
	d.table.add("one service calls another", l.innerOK.Load() > 0, "%d inner calls answered", l.innerOK.Load())
	for _, kind := range slices.Sorted(maps.Keys(l.failures)) {
		d.say("%d × %s", l.failures[kind], kind)
	}
	return nil
}

// shutDown stops everything and looks for what was left behind.
func (d *demo) shutDown() error {
	d.fleet.StopAll()
	left := d.fleet.StillRunning()
	d.table.add("no process is left behind", len(left) == 0, "%d left after %.0f s", len(left), time.Since(d.began).Seconds())
	return nil
}
