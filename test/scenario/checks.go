package scenario

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// waitFor polls the condition until it holds. The arguments are
// "WITHIN [since COMMAND]"; the time limit counts from the start of COMMAND if it
// is given.
func (m *mesh) waitFor(ts *testscript.TestScript, args []string, condition func() error) error {
	if len(args) != 1 && (len(args) != 3 || args[1] != "since") {
		return errors.New("expected arguments WITHIN [since COMMAND]")
	}
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	start := time.Now()
	if len(args) == 3 {
		var ok bool
		if start, ok = m.commandTimes[args[2]]; !ok {
			return fmt.Errorf("command %s has not run yet", args[2])
		}
		if args[2] == "apply" {
			start = m.acceptedAt
		}
	}
	err = m.eventuallySince(start, limit, condition)
	ts.Logf("after %.1f s", time.Since(start).Seconds())
	return err
}

// cmdConverged implements "converged WITHIN [since COMMAND]": waits until every
// daemon has the accepted version.
func cmdConverged(m *mesh, ts *testscript.TestScript, args []string) error {
	return m.waitFor(ts, args, m.converged)
}

// cmdSettled implements "settled WITHIN [since COMMAND]": waits until the status
// of every daemon shows every domain complete and up to date.
func cmdSettled(m *mesh, ts *testscript.TestScript, args []string) error {
	return m.waitFor(ts, args, m.settled)
}

// cmdServing implements "serving WITHIN [since COMMAND]": waits until every
// daemon answers a look-up and an order.
func cmdServing(m *mesh, ts *testscript.TestScript, args []string) error {
	return m.waitFor(ts, args, func() error { return m.serving(m.available()) })
}

// cmdLoad implements "load start|stop|repeat".
func cmdLoad(m *mesh, ts *testscript.TestScript, args []string) error {
	switch {
	case len(args) == 1 && args[0] == "start":
		m.load.startWorkers()
	case len(args) == 1 && args[0] == "stop":
		m.load.stopWorkers()
	case len(args) == 1 && args[0] == "repeat":
		ts.Logf("%d unanswered orders repeated", m.load.retryUnanswered())
	default:
		return errors.New("expected start, stop or repeat")
	}
	return nil
}

// cmdSleep implements "sleep DURATION", which sets the length of a fault.
func cmdSleep(_ *mesh, _ *testscript.TestScript, args []string) error {
	if err := needArgs(args, 1, 1); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// cmdCheck implements "check WHAT [arguments]".
func cmdCheck(m *mesh, _ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errors.New("expected the name of a check")
	}
	switch check, rest := args[0], args[1:]; check {
	case "versions":
		return m.monitor.check()
	case "answers":
		return m.load.checkAnswers()
	case "uncut":
		return m.load.checkUninterrupted()
	case "orders":
		return m.load.checkOrders()
	case "race":
		return m.race.check()
	case "drained":
		return m.checkDrained(rest)
	case "floor":
		return m.checkFloor(rest)
	case "stopped":
		return m.checkStopped(rest)
	case "crashed":
		return m.checkCrashed(rest)
	case "raised":
		return m.checkRaised(rest)
	default:
		return fmt.Errorf("unknown check %q", check)
	}
}

// maxLogDelay bounds the time until a log line of a daemon is in its file; the
// daemon flushes its log buffer every 200 ms.
const maxLogDelay = 2 * time.Second

// logLine holds the fields of a daemon's log line that the checks use.
type logLine struct {
	Event     int       `json:"event"`
	Time      time.Time `json:"ts"`
	Cut       *int      `json:"cut"`
	Version   uint64    `json:"version"`
	FromStore bool      `json:"fromStore"`
	Key       string    `json:"key"`
}

// readLog calls f for each JSON line of a daemon's log.
func (m *mesh) readLog(name string, f func(logLine)) error {
	v, err := m.findVM(name)
	if err != nil {
		return err
	}
	file, err := os.Open(v.daemon.Log)
	if err != nil {
		return err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil {
			f(line)
		}
	}
	return scanner.Err()
}

// Event numbers, from docs/events.md.
const (
	eventDrained       = 1003
	eventFloorLearned  = 1305
	eventLeaseAcquired = 1380
	eventShareRaised   = 1410
)

// checkDrained implements "check drained NAME...": each daemon drained and
// aborted no call.
func (m *mesh) checkDrained(names []string) error {
	for _, name := range names {
		drained, aborted := 0, 0
		err := m.readLog(name, func(line logLine) {
			if line.Event == eventDrained && line.Cut != nil {
				drained++
				aborted += *line.Cut
			}
		})
		if err != nil {
			return err
		}
		if drained == 0 || aborted > 0 {
			return fmt.Errorf("%s: %d drains aborted %d calls, expected at least one drain and no aborted calls", name, drained, aborted)
		}
	}
	return nil
}

// checkFloor implements "check floor NAME VERSION": on its last start, the
// daemon learned the version floor from the distributors and not from the store.
func (m *mesh) checkFloor(args []string) error {
	if err := needArgs(args, 2, 2); err != nil {
		return err
	}
	want, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	return m.eventually(maxLogDelay, func() error { return m.checkLearnedFloor(args[0], want) })
}

func (m *mesh) checkLearnedFloor(name string, want uint64) error {
	var last logLine
	err := m.readLog(name, func(line logLine) {
		if line.Event == eventFloorLearned {
			last = line
		}
	})
	if err != nil {
		return err
	}
	if last.FromStore || last.Version != want {
		return fmt.Errorf("%s learned version floor %d, from the store: %t", name, last.Version, last.FromStore)
	}
	return nil
}
