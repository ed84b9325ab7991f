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

// reach parses "WITHIN [since COMMAND]" and polls the condition.
func (m *mesh) reach(ts *testscript.TestScript, args []string, condition func() error) error {
	if len(args) != 1 && (len(args) != 3 || args[1] != "since") {
		return errors.New("needs WITHIN [since COMMAND]")
	}
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	start := time.Now()
	if len(args) == 3 {
		var ok bool
		if start, ok = m.marks[args[2]]; !ok {
			return fmt.Errorf("no command %s before", args[2])
		}
		if args[2] == "apply" {
			start = m.acceptedAt
		}
	}
	err = m.eventuallySince(start, limit, condition)
	ts.Logf("after %.1f s", time.Since(start).Seconds())
	return err
}

// cmdConverged: converged WITHIN [since COMMAND]. Every daemon has the accepted
// version.
func cmdConverged(m *mesh, ts *testscript.TestScript, args []string) error {
	return m.reach(ts, args, m.converged)
}

// cmdSettled: settled WITHIN [since COMMAND]. Every daemon's status shows every
// domain complete and up to date.
func cmdSettled(m *mesh, ts *testscript.TestScript, args []string) error {
	return m.reach(ts, args, m.settled)
}

// cmdServing: serving WITHIN [since COMMAND]. Every daemon answers look-ups.
func cmdServing(m *mesh, ts *testscript.TestScript, args []string) error {
	return m.reach(ts, args, func() error { return m.serving(m.up()) })
}

// cmdLoad: load start|stop|repeat.
func cmdLoad(m *mesh, ts *testscript.TestScript, args []string) error {
	switch {
	case len(args) == 1 && args[0] == "start":
		m.load.begin()
	case len(args) == 1 && args[0] == "stop":
		m.load.end()
	case len(args) == 1 && args[0] == "repeat":
		ts.Logf("%d orders sent again", m.load.repeatUnanswered())
	default:
		return errors.New("needs start, stop or repeat")
	}
	return nil
}

// cmdSleep: sleep DURATION, the length of a fault.
func cmdSleep(_ *mesh, _ *testscript.TestScript, args []string) error {
	if err := needArgs(args, 1, 1); err != nil {
		return err
	}
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

// cmdCheck: check WHAT [arguments].
func cmdCheck(m *mesh, _ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errors.New("needs what to check")
	}
	switch what, rest := args[0], args[1:]; what {
	case "versions":
		return m.watch.check()
	case "answers":
		return m.load.checkAnswers()
	case "uncut":
		return m.load.checkUncut()
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
		return fmt.Errorf("unknown check %s", what)
	}
}

// logDelay is the longest time until a daemon's log line is in the file; its
// buffer is written every 200 ms.
const logDelay = 2 * time.Second

// logLine is the part of a daemon's log line that the checks read.
type logLine struct {
	Event     int       `json:"event"`
	Time      time.Time `json:"ts"`
	Cut       *int      `json:"cut"`
	Version   uint64    `json:"version"`
	FromStore bool      `json:"fromStore"`
	Key       string    `json:"key"`
}

// log calls f for each line of a daemon's log.
func (m *mesh) log(name string, f func(logLine)) error {
	v, err := m.vm(name)
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

// Numbers of events, from docs/events.md.
const (
	eventDrained      = 1003
	eventFloorLearned = 1305
	eventLeaseTaken   = 1380
	eventShareRaised  = 1410
)

// checkDrained: check drained NAME... The daemons drained and cut no call.
func (m *mesh) checkDrained(names []string) error {
	for _, name := range names {
		drained, cut := 0, 0
		err := m.log(name, func(line logLine) {
			if line.Event == eventDrained && line.Cut != nil {
				drained++
				cut += *line.Cut
			}
		})
		if err != nil {
			return err
		}
		if drained == 0 || cut > 0 {
			return fmt.Errorf("%s: %d drains cut %d calls", name, drained, cut)
		}
	}
	return nil
}

// checkFloor: check floor NAME VERSION. The last start of the daemon learned
// the floor from distributors, not from the store.
func (m *mesh) checkFloor(args []string) error {
	if err := needArgs(args, 2, 2); err != nil {
		return err
	}
	want, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	return m.eventually(logDelay, func() error { return m.learnedFloor(args[0], want) })
}

func (m *mesh) learnedFloor(name string, want uint64) error {
	var last logLine
	err := m.log(name, func(line logLine) {
		if line.Event == eventFloorLearned {
			last = line
		}
	})
	if err != nil {
		return err
	}
	if last.FromStore || last.Version != want {
		return fmt.Errorf("%s learned floor %d, from the store: %t", name, last.Version, last.FromStore)
	}
	return nil
}
