package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/test/processes"
)

const (
	bootTimeout    = 25 * time.Second
	convergeBound  = 8 * time.Second
	moveTime       = 42 * time.Second
	moveHold       = 6 * time.Second
	moveTimeout    = 50 * time.Second
	killAfter      = 4 * time.Second
	storeOutage    = 4 * time.Second
	takenBackGrace = 2 * time.Second
	exposureBound  = 0.10
	pollInterval   = 500 * time.Millisecond
	goodMove       = "winter-release"
	badMove        = "faster-search"
)

// demo is one run of the script.
type demo struct {
	ctx      context.Context
	began    time.Time
	dir      string
	examples string
	basePort int
	fleet    *processes.Fleet
	vms      []*vm
	control  *control
	load     *load
	table    table

	by                time.Time
	doneAt, takenBack time.Time
}

var errInterrupted = errors.New("interrupted or out of time")

func (d *demo) say(format string, args ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// play runs the steps in order.
func (d *demo) play() error {
	for _, step := range []func() error{
		d.boot, d.refuseBadFile, d.applyExamples, d.startMoves, d.killOne, d.awaitMoves,
		d.storeDown, d.stopGracefully, d.count, d.shutDown,
	} {
		if err := step(); err != nil {
			return err
		}
		if d.ctx.Err() != nil {
			return errInterrupted
		}
	}
	return nil
}

func (d *demo) boot() error {
	store := fmt.Sprintf("%s:%d", loopback, d.basePort)
	if _, err := d.fleet.Start("store", "nutmegstore", "-listen", store); err != nil {
		return err
	}
	for _, v := range d.vms {
		if err := v.start(d.fleet, d.dir, store); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(d.ctx, bootTimeout)
	defer cancel()
	ready := eventually(ctx, pollInterval, func() bool {
		s, err := d.control.status()
		return err == nil && countMembers(s) == len(d.vms)
	})
	if !ready {
		return fmt.Errorf("the daemons did not find one another within %s", bootTimeout)
	}
	d.sayMemory()
	d.say("%d daemons in %d failure domains and their targets run", len(d.vms), len(domains))
	return nil
}

func countMembers(s admin.Status) int {
	n := 0
	for _, domain := range s.Domains {
		n += domain.Members
	}
	return n
}

func (d *demo) refuseBadFile() error {
	_, stderr, code, err := d.control.run("apply", filepath.Join(d.examples, "bad"))
	if err != nil {
		return err
	}
	s, err := d.control.status()
	if err != nil {
		return err
	}
	d.say("bad file refused:\n%s", strings.TrimSpace(stderr))
	d.table.add("a bad file is refused whole", code == 1 && s.FleetVersion == 0,
		"exit code %d, %d lines of errors, version %d after it", code, strings.Count(stderr, "\n"), s.FleetVersion)
	return nil
}

func (d *demo) applyExamples() error {
	took, err := d.apply(filepath.Join(d.examples, "inzuzi"))
	if err != nil {
		return err
	}
	d.say("example files applied and in force everywhere")
	d.table.add("an accepted version is in force everywhere within 8 s", took <= convergeBound, "%.1f s", took.Seconds())
	d.load.start()
	return nil
}

// apply applies a directory and returns the time until it was in force.
func (d *demo) apply(dir string) (time.Duration, error) {
	start := time.Now()
	stdout, stderr, code, err := d.control.run("apply", "-wait", dir)
	if err != nil || code != 0 {
		return 0, fmt.Errorf("apply %s: exit code %d: %s%s: %w", dir, code, stdout, stderr, err)
	}
	return time.Since(start), nil
}

func (d *demo) startMoves() error {
	dir := filepath.Join(d.dir, "moves")
	if err := os.Mkdir(dir, 0o755); err != nil {
		return err
	}
	d.by = time.Now().Add(moveTime).Truncate(time.Second)
	if err := writeMoves(filepath.Join(d.examples, "inzuzi"), dir, d.by, moveHold); err != nil {
		return err
	}
	if _, err := d.apply(dir); err != nil {
		return err
	}
	d.say("two moves accepted, both due in %s; the new catalogue fails on one route", moveTime)
	return nil
}

// killOne kills a daemon and its target without notice.
func (d *demo) killOne() error {
	time.Sleep(killAfter)
	victim := d.vms[len(kinds)] // an old order desk of the second domain
	victim.dead = true
	victim.daemon.Kill()
	victim.target.Kill()
	d.say("VM %s killed without notice", victim.name)
	return nil
}

func (d *demo) awaitMoves() error {
	ctx, cancel := context.WithTimeout(d.ctx, moveTimeout)
	defer cancel()
	var last map[string]admin.MoveStatus
	shown := ""
	eventually(ctx, pollInterval, func() bool {
		moves, err := d.control.moves()
		if err != nil {
			return false
		}
		last = moves
		good, bad := moves[goodMove], moves[badMove]
		if line := fmt.Sprintf("%s: %s %.0f%%; %s: %s %.0f%%", goodMove, good.State, good.Share*100, badMove, bad.State, bad.Share*100); line != shown {
			shown = line
			d.say("%s", line)
		}
		if d.takenBack.IsZero() && bad.State == admin.MoveTakenBack {
			d.takenBack = time.Now()
			d.say("taken back: %s", bad.Reason)
		}
		if d.doneAt.IsZero() && good.State == admin.MoveDone {
			d.doneAt = time.Now()
			d.say("done: %s", good.Reason)
		}
		return !d.doneAt.IsZero() && !d.takenBack.IsZero()
	})
	good, bad := last[goodMove], last[badMove]
	full := good.By.Add(time.Minute)
	if good.Detail != nil {
		full = good.Detail.ExpectedEnd
	}
	d.table.add("a good version has all traffic by its set time", good.State == admin.MoveDone && !full.After(d.by),
		"%s, all traffic %.1f s before the set time", good.State, d.by.Sub(full).Seconds())
	share := float64(d.load.newVersion.Load()) / float64(max(d.load.lookups.Load(), 1))
	d.table.add("a bad version is taken back and gets a small share", bad.State == admin.MoveTakenBack && share <= exposureBound,
		"%s, %.2f%% of %d lookups", bad.State, share*100, d.load.lookups.Load())
	return nil
}

func (d *demo) storeDown() error {
	if wait := time.Until(d.takenBack.Add(takenBackGrace)); wait > 0 {
		time.Sleep(wait)
	}
	late := time.UnixMilli(d.load.lastNew.Load()).Sub(d.takenBack)
	d.table.add("a version taken back gets no call 2 s later", !d.takenBack.IsZero() && late <= takenBackGrace,
		"last call %.1f s after the report", late.Seconds())
	if err := d.setStoreFaults(`{"down":true}`); err != nil {
		return err
	}
	before := d.load.lookupsOK.Load()
	time.Sleep(storeOutage)
	s, err := d.control.status()
	if err != nil {
		return err
	}
	served := d.load.lookupsOK.Load() - before
	if err := d.setStoreFaults(`{}`); err != nil {
		return err
	}
	d.say("store was down for %s", storeOutage)
	d.table.add("calls go on while the store is down, and status says so", served > 0 && !s.Store.Reachable,
		"%d lookups served, store reachable: %t", served, s.Store.Reachable)
	return nil
}
