package soak

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"nutmegstand.example/nutmegstand/test/platform/standin"
)

// fault describes one kind of injected fault.
type fault struct {
	name string
	// inject injects the fault for about d and clears it before returning.
	inject func(s *soak, m *machine, d time.Duration) error
	// exclusive faults reserve the daemon and the target of the machine.
	exclusive bool
}

const (
	minFaultDuration  = 100 * time.Millisecond
	maxFaultDuration  = 2500 * time.Millisecond
	maxFaultInterval  = 400 * time.Millisecond // between the starts of two faults
	linkDelay         = 150 * time.Millisecond
	datagramLossShare = 0.5
)

func linkFault(state linkState) func(*soak, *machine, time.Duration) error {
	return func(s *soak, m *machine, d time.Duration) error {
		p := m.proxies()[int(d)%len(m.proxies())]
		p.set(state)
		time.Sleep(d)
		p.set(linkState{})
		return nil
	}
}

func storeFault(f standin.Fault) func(*soak, *machine, time.Duration) error {
	return func(s *soak, _ *machine, d time.Duration) error {
		s.store.Inject(func(r *http.Request) standin.Fault {
			if rand.IntN(3) == 0 {
				return standin.NoFault
			}
			return f
		})
		time.Sleep(d)
		s.store.InjectAll(standin.NoFault)
		return nil
	}
}

func targetFault(m misbehavior) func(*soak, *machine, time.Duration) error {
	return func(_ *soak, machine *machine, d time.Duration) error {
		_, t, _ := machine.current()
		t.misbehavior.Store(&m)
		time.Sleep(d)
		t.misbehavior.Store(&misbehavior{})
		return nil
	}
}

var faults = []fault{
	{"kill", func(_ *soak, m *machine, d time.Duration) error {
		p, _, _ := m.current()
		p.Kill()
		time.Sleep(d / 2)
		return m.start()
	}, true},
	{"pause", func(_ *soak, m *machine, d time.Duration) error {
		if err := m.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(d)
		return m.signal(syscall.SIGCONT)
	}, true},
	{"stop", func(_ *soak, m *machine, d time.Duration) error {
		p, _, _ := m.current()
		m.awaitStart(d) // SIGTERM kills a process that has not yet installed its signal handler
		if err := p.Stop(); err != nil {
			return err
		}
		time.Sleep(d / 4)
		return m.start()
	}, true},
	{"reload", func(_ *soak, m *machine, d time.Duration) error {
		m.settings.Retries.Slack = float64(20 + int(d)%60)
		if err := m.writeSettings(); err != nil {
			return err
		}
		m.awaitStart(d)
		return m.signal(syscall.SIGHUP)
	}, true},
	{"target crash", func(_ *soak, m *machine, d time.Duration) error {
		_, t, _ := m.current()
		t.crash()
		time.Sleep(d)
		return m.startTarget()
	}, true},
	{"target replaced", func(_ *soak, m *machine, _ time.Duration) error {
		_, t, _ := m.current()
		t.drain()
		return m.startTarget()
	}, true},
	{"target replaced around a restart", func(_ *soak, m *machine, d time.Duration) error {
		p, t, _ := m.current()
		drained := make(chan struct{})
		go func() { t.drain(); close(drained) }()
		time.Sleep(d / 8)
		p.Kill()
		if err := m.start(); err != nil {
			return err
		}
		<-drained
		return m.startTarget()
	}, true},
	{"target slow", targetFault(misbehavior{slow: true}), false},
	{"target drops responses", targetFault(misbehavior{dropResponses: true}), false},
	{"target returns errors", targetFault(misbehavior{fail: true}), false},
	{"link delay", linkFault(linkState{delay: linkDelay, datagramLoss: datagramLossShare}), false},
	{"link drops all traffic", linkFault(linkState{dropForward: true, dropReturn: true}), false},
	{"link drops traffic to the server", linkFault(linkState{dropForward: true}), false},
	{"link drops traffic from the server", linkFault(linkState{dropReturn: true, datagramLoss: 1}), false},
	{"connection reset", func(_ *soak, m *machine, d time.Duration) error {
		for _, p := range m.proxies() {
			p.reset()
		}
		return nil
	}, false},
	{"machine partitioned", func(_ *soak, m *machine, d time.Duration) error {
		for _, p := range m.proxies() {
			p.set(linkState{dropForward: true, dropReturn: true})
		}
		time.Sleep(d)
		for _, p := range m.proxies() {
			p.set(linkState{})
		}
		return nil
	}, false},
	{"store unavailable", storeFault(standin.Unavailable), false},
	{"store throttles", storeFault(standin.Throttled), false},
	{"store drops responses", storeFault(standin.ResponseLost), false},
	{"store delays writes", storeFault(standin.Delayed), false},
	{"store does not respond", storeFault(standin.NoResponse), false},
	{"store sends malformed responses", storeFault(standin.Malformed), false},
	{"store compacts its history", func(s *soak, _ *machine, _ time.Duration) error { s.store.Compact(); return nil }, false},
	{"configuration update", func(s *soak, _ *machine, _ time.Duration) error { s.configure(); return nil }, false},
	{"series of configuration updates", func(s *soak, _ *machine, _ time.Duration) error {
		for range 10 {
			s.configure()
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	}, false},
	{"all daemons killed", func(s *soak, _ *machine, d time.Duration) error { return s.killAll(d/2, nil) }, false},
}

// killAll kills the daemons of all machines that are free for a fault, and of the machine
// that the caller has reserved if it is not nil, and starts them again.
// It does nothing while the store returns from a copy: what the store lacks then is in the
// memory of the daemons only.
func (s *soak) killAll(downtime time.Duration, reserved *machine) error {
	if !s.losses.TryLock() {
		s.logEvent("daemons not killed, the store returns")
		return nil
	}
	defer s.losses.Unlock()
	var killed []*machine
	for _, m := range s.machines {
		if m != reserved && !m.reserve() {
			continue
		}
		p, _, _ := m.current()
		p.Kill()
		m.addActiveFaults(1)
		killed = append(killed, m)
	}
	time.Sleep(downtime)
	var failed error
	for _, m := range killed {
		failed = errors.Join(failed, m.start())
		m.addActiveFaults(-1)
		if m != reserved {
			m.release()
		}
	}
	return failed
}
