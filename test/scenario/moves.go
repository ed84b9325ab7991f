package scenario

import (
	"errors"
	"fmt"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"nutmegstand.example/nutmegstand/pkg/admin"
)

const (
	// poisonInterval is the time between two requests of the caller.
	poisonInterval = time.Second
	// crashExitCode is the exit code of a target crashed by a request.
	crashExitCode = 3
	// stopObservationTime is the time for which calls are still observed after the
	// time by which they must have stopped.
	stopObservationTime = 3 * time.Second
)

// cmdFault implements "fault NAME...": starts the scripted fault of the targets.
func cmdFault(m *mesh, _ *testscript.TestScript, args []string) error {
	for _, name := range args {
		v, err := m.findVM(name)
		if err != nil {
			return err
		}
		if err := v.target.Signal(syscall.SIGUSR1); err != nil {
			return err
		}
	}
	return nil
}

// cmdShare implements "share MOVE MINIMUM WITHIN [since COMMAND]": waits until the
// move has reached a share of calls.
func cmdShare(m *mesh, ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("expected MOVE MINIMUM WITHIN [since COMMAND]")
	}
	minimum, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	return m.waitFor(ts, args[2:], func() error {
		s, err := m.moveStatus(args[0])
		if err == nil && s.Share < minimum {
			err = fmt.Errorf("move %s has share %g, state %s: %s", args[0], s.Share, s.State, s.Reason)
		}
		return err
	})
}

// cmdMove implements "move MOVE STATE WITHIN [since COMMAND]": waits until the
// state of the move is recorded in the store.
func cmdMove(m *mesh, ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("expected MOVE STATE WITHIN [since COMMAND]")
	}
	return m.waitFor(ts, args[2:], func() error {
		s, err := m.moveStatus(args[0])
		if err == nil && (s.State != admin.MoveState(args[1]) || !s.Recorded) {
			err = fmt.Errorf("move %s has state %s, recorded: %t: %s", args[0], s.State, s.Recorded, s.Reason)
		}
		return err
	})
}

// cmdPoison implements "poison METHOD PATH TIMES": one caller sends the same
// request repeatedly to one daemon after another. Each POST has a new key.
func cmdPoison(m *mesh, ts *testscript.TestScript, args []string) error {
	if err := needArgs(args, 3, 3); err != nil {
		return err
	}
	times, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	e := httpRequest{method: args[0], host: catalogueHost, timeout: callTimeout}
	if e.method == consts.MethodPost {
		e.host, e.body = ordersHost, "poison"
	}
	for i := range times {
		vms := m.available()
		v := vms[i%len(vms)]
		e.url = "http://" + v.address(portCalls) + args[1]
		e.headers = member(0)
		if e.method == consts.MethodPost {
			id, err := uuid.NewV7()
			if err != nil {
				return err
			}
			e.headers["Idempotency-Key"] = id.String()
		}
		r, err := m.do(e)
		switch {
		case err != nil:
			ts.Logf("request at %s: %v", v.name, err)
		case r.status == consts.StatusOK:
			return fmt.Errorf("the crashing request was answered: %s", r.body)
		default:
			ts.Logf("request at %s: status %d %s %s", v.name, r.status, r.outcome, strings.TrimSpace(string(r.body)))
		}
		time.Sleep(poisonInterval)
	}
	return nil
}

// checkCrashed implements "check crashed MINIMUM MAXIMUM": checks the number of
// targets that were crashed by requests.
func (m *mesh) checkCrashed(args []string) error {
	if err := needArgs(args, 2, 2); err != nil {
		return err
	}
	var limits [2]int
	for i, arg := range args {
		var err error
		if limits[i], err = strconv.Atoi(arg); err != nil {
			return err
		}
	}
	var crashed []string
	for _, v := range m.all() {
		var exit *exec.ExitError
		if !v.target.Running() && errors.As(v.target.Err(), &exit) && exit.ExitCode() == crashExitCode {
			crashed = append(crashed, v.name)
		}
	}
	m.logf("crashed targets: %v", crashed)
	if len(crashed) < limits[0] || len(crashed) > limits[1] {
		return fmt.Errorf("number of crashed targets is out of range: %d: %v", len(crashed), crashed)
	}
	return nil
}

// checkStopped implements "check stopped VERSION WITHIN": the targets of the
// version get no call later than WITHIN after the first failed call in their
// journals, while other versions still get calls.
func (m *mesh) checkStopped(args []string) error {
	if err := needArgs(args, 2, 2); err != nil {
		return err
	}
	within, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	var firstFailure time.Time
	err = m.eventually(startupTimeout, func() error {
		calls, err := m.readVersionCalls(args[0])
		firstFailure = calls.firstFailed
		if err == nil && firstFailure.IsZero() {
			err = errors.New("no call to the version has failed yet")
		}
		return err
	})
	if err != nil {
		return err
	}
	time.Sleep(time.Until(firstFailure.Add(within + stopObservationTime)))
	calls, err := m.readVersionCalls(args[0])
	if err != nil {
		return err
	}
	m.logf("version %s: %d calls, %d failed, the last %.1f s after the first failure", args[0], calls.count, calls.failed, calls.last.Sub(firstFailure).Seconds())
	if late := calls.last.Sub(firstFailure); late > within {
		return fmt.Errorf("a call reached the version %s after its first failure", late)
	}
	if calls.lastOtherVersion.Before(firstFailure.Add(within)) {
		return errors.New("no call reached a different version afterwards")
	}
	return nil
}

// versionCalls summarizes the calls in the journals of a version's targets.
type versionCalls struct {
	count, failed                       int
	firstFailed, last, lastOtherVersion time.Time
}

// readVersionCalls reads the look-ups from the journals of the catalogue targets.
func (m *mesh) readVersionCalls(version string) (versionCalls, error) {
	var c versionCalls
	for _, v := range m.all() {
		if v.service != "catalogue" {
			continue
		}
		err := m.readJournal(v, func(fields []string) error {
			if len(fields) != 4 || fields[0] != "call" || !strings.HasPrefix(fields[3], "/fish") {
				return nil
			}
			ms, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return err
			}
			c.add(time.UnixMilli(ms), fields[2] == "true", v.version == version)
			return nil
		})
		if err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *versionCalls) add(at time.Time, failed, ofVersion bool) {
	if !ofVersion {
		if at.After(c.lastOtherVersion) {
			c.lastOtherVersion = at
		}
		return
	}
	c.count++
	if at.After(c.last) {
		c.last = at
	}
	if failed {
		c.failed++
		if c.firstFailed.IsZero() || at.Before(c.firstFailed) {
			c.firstFailed = at
		}
	}
}

// checkRaised implements "check raised NAME": after the daemon was resumed, it
// raised no share before it acquired a rollout lease again.
func (m *mesh) checkRaised(args []string) error {
	if err := needArgs(args, 1, 1); err != nil {
		return err
	}
	resumed, ok := m.commandTimes["resume"]
	if !ok {
		return errors.New("command resume has not run yet")
	}
	time.Sleep(maxLogDelay)
	reacquired, before, raised := false, 0, 0
	err := m.readLog(args[0], func(line logLine) {
		switch {
		case line.Event == eventShareRaised && line.Time.Before(resumed):
			before++
		case line.Event == eventLeaseAcquired && line.Time.After(resumed) && strings.HasPrefix(line.Key, "lease/rollout/"):
			reacquired = true
		case line.Event == eventShareRaised && !reacquired:
			raised++
		}
	})
	switch {
	case err != nil:
		return err
	case before == 0:
		return fmt.Errorf("%s raised no share before it was resumed", args[0])
	case raised > 0:
		return fmt.Errorf("%s raised a share %d times after it was resumed and before it acquired a new lease", args[0], raised)
	}
	return nil
}
