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
	bootTimeout        = 25 * time.Second
	convergenceTimeout = 8 * time.Second
	moveDuration       = 42 * time.Second
	moveHold           = 6 * time.Second
	moveTimeout        = 50 * time.Second
	killDelay          = 4 * time.Second
	storeOutage        = 4 * time.Second
	takenBackTimeout   = 2 * time.Second
	maxFaultyShare     = 0.10
	pollInterval       = 500 * time.Millisecond
	goodMove           = "winter-release"
	badMove            = "faster-search"
)

// demo is the state of one run of the demo.
type demo struct {
	ctx       context.Context
	startedAt time.Time
	dir       string
	examples  string
	basePort  int
	children  *processes.Group
	vms       []*vm
	admin     *adminClient
	load      *load
	table     table

	deadline            time.Time
	doneAt, takenBackAt time.Time
}

var errInterrupted = errors.New("the demo was interrupted or exceeded its time limit")

func (d *demo) logf(format string, args ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// runSteps runs all steps in order.
func (d *demo) runSteps() error {
	for _, step := range []func() error{
		d.boot, d.rejectInvalidFile, d.applyExamples, d.startMoves, d.killOne, d.awaitMoves,
		d.storeDown, d.stopGracefully, d.checkLoad, d.shutDown,
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
	if _, err := d.children.Start("store", "nutmegstore", "-listen", store); err != nil {
		return err
	}
	for _, v := range d.vms {
		if err := v.start(d.children, d.dir, store); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(d.ctx, bootTimeout)
	defer cancel()
	ready := eventually(ctx, pollInterval, func() bool {
		s, err := d.admin.status()
		return err == nil && countMembers(s) == len(d.vms)
	})
	if !ready {
		return fmt.Errorf("not all daemons became members within %s", bootTimeout)
	}
	d.logMemory()
	d.logf("%d daemons in %d failure domains and their targets are running", len(d.vms), len(domains))
	return nil
}

func countMembers(s admin.Status) int {
	n := 0
	for _, domain := range s.Domains {
		n += domain.Members
	}
	return n
}

func (d *demo) rejectInvalidFile() error {
	_, stderr, code, err := d.admin.run("apply", filepath.Join(d.examples, "bad"))
	if err != nil {
		return err
	}
	s, err := d.admin.status()
	if err != nil {
		return err
	}
	d.logf("invalid file rejected:\n%s", strings.TrimSpace(stderr))
	d.table.add("an invalid file is rejected as a whole", code == 1 && s.FleetVersion == 0,
		"exit code %d, %d error lines, configuration version %d", code, strings.Count(stderr, "\n"), s.FleetVersion)
	return nil
}

func (d *demo) applyExamples() error {
	took, err := d.apply(filepath.Join(d.examples, "inzuzi"))
	if err != nil {
		return err
	}
	d.logf("example configuration applied and in force on all daemons")
	d.table.add("an accepted configuration is in force on all daemons within 8 s", took <= convergenceTimeout, "%.1f s", took.Seconds())
	d.load.start()
	return nil
}

// apply applies the configuration files in a directory and returns the time until the
// configuration was in force on all daemons.
func (d *demo) apply(dir string) (time.Duration, error) {
	start := time.Now()
	stdout, stderr, code, err := d.admin.run("apply", "-wait", dir)
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
	d.deadline = time.Now().Add(moveDuration).Truncate(time.Second)
	if err := writeMoves(filepath.Join(d.examples, "inzuzi"), dir, d.deadline, moveHold); err != nil {
		return err
	}
	if _, err := d.apply(dir); err != nil {
		return err
	}
	d.logf("two moves accepted, both with a deadline in %s; the new version of catalogue returns errors on one route", moveDuration)
	return nil
}

// killOne kills a daemon and its target with SIGKILL.
func (d *demo) killOne() error {
	time.Sleep(killDelay)
	killed := d.vms[len(targetKinds)] // the old version of orderdesk in the second failure domain
	killed.down = true
	killed.daemon.Kill()
	killed.target.Kill()
	d.logf("VM %s killed with SIGKILL", killed.name)
	return nil
}

func (d *demo) awaitMoves() error {
	ctx, cancel := context.WithTimeout(d.ctx, moveTimeout)
	defer cancel()
	var last map[string]admin.MoveStatus
	shown := ""
	eventually(ctx, pollInterval, func() bool {
		moves, err := d.admin.moves()
		if err != nil {
			return false
		}
		last = moves
		good, bad := moves[goodMove], moves[badMove]
		if line := fmt.Sprintf("%s: %s %.0f%%; %s: %s %.0f%%", goodMove, good.State, good.Share*100, badMove, bad.State, bad.Share*100); line != shown {
			shown = line
			d.logf("%s", line)
		}
		if d.takenBackAt.IsZero() && bad.State == admin.MoveTakenBack {
			d.takenBackAt = time.Now()
			d.logf("taken back: %s", bad.Reason)
		}
		if d.doneAt.IsZero() && good.State == admin.MoveDone {
			d.doneAt = time.Now()
			d.logf("done: %s", good.Reason)
		}
		return !d.doneAt.IsZero() && !d.takenBackAt.IsZero()
	})
	good, bad := last[goodMove], last[badMove]
	full := good.By.Add(time.Minute)
	if good.Detail != nil {
		full = good.Detail.ExpectedEnd
	}
	d.table.add("a good version gets all traffic by its deadline", good.State == admin.MoveDone && !full.After(d.deadline),
		"%s, all traffic %.1f s before the deadline", good.State, d.deadline.Sub(full).Seconds())
	share := float64(d.load.newVersionLookups.Load()) / float64(max(d.load.lookups.Load(), 1))
	d.table.add("a faulty version is taken back and gets a small share of the traffic", bad.State == admin.MoveTakenBack && share <= maxFaultyShare,
		"%s, %.2f%% of %d lookups", bad.State, share*100, d.load.lookups.Load())
	return nil
}

func (d *demo) storeDown() error {
	if wait := time.Until(d.takenBackAt.Add(takenBackTimeout)); wait > 0 {
		time.Sleep(wait)
	}
	late := time.UnixMilli(d.load.lastNewVersionMS.Load()).Sub(d.takenBackAt)
	d.table.add("a version gets no calls from 2 s after it was taken back", !d.takenBackAt.IsZero() && late <= takenBackTimeout,
		"last call %.1f s after the move was reported as taken back", late.Seconds())
	if err := d.setStoreFaults(`{"down":true}`); err != nil {
		return err
	}
	before := d.load.lookupsOK.Load()
	time.Sleep(storeOutage)
	s, err := d.admin.status()
	if err != nil {
		return err
	}
	served := d.load.lookupsOK.Load() - before
	if err := d.setStoreFaults(`{}`); err != nil {
		return err
	}
	d.logf("the store was unavailable for %s", storeOutage)
	d.table.add("calls are served while the store is unavailable, and the status reports the outage", served > 0 && !s.Store.Reachable,
		"%d lookups served, store reachable: %t", served, s.Store.Reachable)
	return nil
}
