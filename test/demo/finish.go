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

const settleTime = 2 * time.Second

func (d *demo) setStoreFaults(body string) error {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(consts.MethodPut)
	request.SetRequestURI(fmt.Sprintf("http://%s:%d/faults", loopback, d.basePort))
	request.SetBodyString(body)
	return d.load.http.Do(context.Background(), request, response)
}

// stopGracefully stops a VM gracefully: first the target, which withdraws its
// announcement, then the daemon, which drains its calls.
func (d *demo) stopGracefully() error {
	time.Sleep(settleTime)
	v := d.vms[2] // the old version of catalogue in the first failure domain
	targetErr := v.target.Stop()
	v.down = true // callers are notified by "Connection: close"
	time.Sleep(100 * time.Millisecond)
	daemonErr := v.daemon.Stop()
	aborted, err := abortedCalls(v.daemon.Log)
	if err != nil {
		return err
	}
	d.logf("VM %s stopped gracefully", v.name)
	d.table.add("a graceful stop aborts no call", targetErr == nil && daemonErr == nil && aborted == 0,
		"%d aborted, exit status: target %v, daemon %v", aborted, exitText(targetErr), exitText(daemonErr))
	return nil
}

// logMemory prints the resident memory of the daemons, which includes the memory of
// their data plane.
func (d *demo) logMemory() {
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
		d.logf("resident memory of a daemon: %.1f MB on average, %.1f MB at most", float64(sum)/float64(n)/1e3, float64(largest)/1e3)
	}
}

func exitText(err error) string {
	if err == nil {
		return "0"
	}
	return err.Error()
}

// abortedCalls returns the number of calls that a daemon aborted while it drained,
// read from its log.
func abortedCalls(file string) (int, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		var entry struct {
			Msg     string `json:"msg"`
			Aborted int    `json:"cut"`
		}
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "daemon_drained" {
			return entry.Aborted, nil
		}
	}
	return 0, fmt.Errorf("log %s contains no daemon_drained event", filepath.Base(file))
}

// checkLoad stops the load and compares the responses that callers received with the
// executions at the targets.
func (d *demo) checkLoad() error {
	d.logMemory()
	d.load.finish()
	executions, err := d.load.executions()
	if err != nil {
		return err
	}
	twice, lost, falseNotRun, succeeded := 0, 0, 0, 0
	killed := d.vms[len(targetKinds)].address(portTarget)
	for _, o := range d.load.orders {
		switch {
		case executions[o.id] > 1:
			twice++
		case o.succeeded && executions[o.id] == 0 && o.target != killed:
			lost++
		case o.notRun && executions[o.id] > 0:
			falseNotRun++
		}
		if o.succeeded {
			succeeded++
		}
	}
	l := d.load
	d.table.add("an order is executed at most once", twice == 0, "%d of %d orders were executed more than once", twice, len(l.orders))
	d.table.add("a successful order was executed", lost == 0, "%d of %d successful orders were not executed", lost, succeeded)
	d.table.add("an order reported as not-run was not executed", falseNotRun == 0, "%d of %d orders reported as not-run were executed", falseNotRun, l.ordersNotRun.Load())
	d.table.add("every response belongs to its request", l.mismatches.Load() == 0, "%d mismatches in %d lookups and %d orders",
		l.mismatches.Load(), l.lookupsOK.Load(), succeeded)
	d.table.add("a service can call another service", l.nestedCallsOK.Load() > 0, "%d nested calls succeeded", l.nestedCallsOK.Load())
	for _, kind := range slices.Sorted(maps.Keys(l.failures)) {
		d.logf("%d × %s", l.failures[kind], kind)
	}
	return nil
}

// shutDown stops all processes and checks that none is still running.
func (d *demo) shutDown() error {
	d.children.StopAll()
	left := d.children.StillRunning()
	d.table.add("no process is left running", len(left) == 0, "%d still running after %.0f s", len(left), time.Since(d.startedAt).Seconds())
	return nil
}
