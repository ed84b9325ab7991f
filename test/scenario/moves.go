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
	// poisonPause is the time after which the caller sends again.
	poisonPause = time.Second
	// crashCode is the exit code of a target that a request crashed.
	crashCode = 3
	// stoppedMargin is how long calls are watched after they must have stopped.
	stoppedMargin = 3 * time.Second
)

// cmdFault: fault NAME... The targets' scripted fault begins.
func cmdFault(m *mesh, _ *testscript.TestScript, args []string) error {
	for _, name := range args {
		v, err := m.vm(name)
		if err != nil {
			return err
		}
		if err := v.target.Signal(syscall.SIGUSR1); err != nil {
			return err
		}
	}
	return nil
}

// cmdShare: share MOVE MINIMUM WITHIN. The move has reached a share of calls.
func cmdShare(m *mesh, ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("needs MOVE MINIMUM WITHIN")
	}
	minimum, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	return m.reach(ts, args[2:], func() error {
		s, err := m.moveStatus(args[0])
		if err == nil && s.Share < minimum {
			err = fmt.Errorf("%s has share %g, state %s: %s", args[0], s.Share, s.State, s.Reason)
		}
		return err
	})
}

// cmdMove: move MOVE STATE WITHIN [since COMMAND]. The state is recorded in the
// store.
func cmdMove(m *mesh, ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("needs MOVE STATE WITHIN")
	}
	return m.reach(ts, args[2:], func() error {
		s, err := m.moveStatus(args[0])
		if err == nil && (s.State != admin.MoveState(args[1]) || !s.Recorded) {
			err = fmt.Errorf("%s is %s, recorded: %t: %s", args[0], s.State, s.Recorded, s.Reason)
		}
		return err
	})
}

// cmdPoison: poison METHOD PATH TIMES. One caller sends the same request again
// and again, each time with a new key, to one daemon after another.
func cmdPoison(m *mesh, ts *testscript.TestScript, args []string) error {
	if err := needArgs(args, 3, 3); err != nil {
		return err
	}
	times, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	e := exchange{method: args[0], host: catalogueHost, timeout: callTimeout}
	if e.method == consts.MethodPost {
		e.host, e.body = ordersHost, "poison"
	}
	for i := range times {
		up := m.up()
		v := up[i%len(up)]
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
			ts.Logf("by %s: %v", v.name, err)
		case r.status == consts.StatusOK:
			return fmt.Errorf("the request was answered: %s", r.body)
		default:
			ts.Logf("by %s: status %d %s %s", v.name, r.status, r.outcome, strings.TrimSpace(string(r.body)))
		}
		time.Sleep(poisonPause)
	}
	return nil
}

// checkCrashed: check crashed MINIMUM MAXIMUM. So many targets were crashed by
// requests.
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
		if !v.target.Running() && errors.As(v.target.Err(), &exit) && exit.ExitCode() == crashCode {
			crashed = append(crashed, v.name)
		}
	}
	m.logf("crashed: %v", crashed)
	if len(crashed) < limits[0] || len(crashed) > limits[1] {
		return fmt.Errorf("%d targets crashed: %v", len(crashed), crashed)
	}
	return nil
}

// checkStopped: check stopped VERSION WITHIN. After the first failed call of
// the version, as its targets noted it, they get calls for so long at most,
// while other versions go on to get some.
func (m *mesh) checkStopped(args []string) error {
	if err := needArgs(args, 2, 2); err != nil {
		return err
	}
	within, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	var shown time.Time
	err = m.eventually(bootTimeout, func() error {
		calls, err := m.calls(args[0])
		shown = calls.firstFailed
		if err == nil && shown.IsZero() {
			err = errors.New("no call failed")
		}
		return err
	})
	if err != nil {
		return err
	}
	time.Sleep(time.Until(shown.Add(within + stoppedMargin)))
	calls, err := m.calls(args[0])
	if err != nil {
		return err
	}
	m.logf("version %s: %d calls, %d failed, the last %.1f s after the first failure", args[0], calls.count, calls.failed, calls.last.Sub(shown).Seconds())
	if late := calls.last.Sub(shown); late > within {
		return fmt.Errorf("a call %s after the first failure", late)
	}
	if calls.lastOther.Before(shown.Add(within)) {
		return errors.New("no other version was called afterwards")
	}
	return nil
}

// versionCalls is what the targets of a version noted.
type versionCalls struct {
	count, failed                int
	firstFailed, last, lastOther time.Time
}

// calls reads the look-ups in the journals of the catalogue's targets.
func (m *mesh) calls(version string) (versionCalls, error) {
	var c versionCalls
	for _, v := range m.all() {
		if v.service != "catalogue" {
			continue
		}
		err := m.journal(v, func(fields []string) error {
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

func (c *versionCalls) add(at time.Time, failed, counted bool) {
	if !counted {
		if at.After(c.lastOther) {
			c.lastOther = at
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

// checkRaised: check raised NAME. The daemon was resumed, and raised no share
// from then on unless it had taken a rollout lease anew.
func (m *mesh) checkRaised(args []string) error {
	if err := needArgs(args, 1, 1); err != nil {
		return err
	}
	resumed, ok := m.marks["resume"]
	if !ok {
		return errors.New("nothing was resumed")
	}
	time.Sleep(logDelay)
	taken, before, raised := false, 0, 0
	err := m.log(args[0], func(line logLine) {
		switch {
		case line.Event == eventShareRaised && line.Time.Before(resumed):
			before++
		case line.Event == eventLeaseTaken && line.Time.After(resumed) && strings.HasPrefix(line.Key, "lease/rollout/"):
			taken = true
		case line.Event == eventShareRaised && !taken:
			raised++
		}
	})
	switch {
	case err != nil:
		return err
	case before == 0:
		return fmt.Errorf("%s had raised no share before", args[0])
	case raised > 0:
		return fmt.Errorf("%s raised a share %d times after its pause without a new lease", args[0], raised)
	}
	return nil
}
