package soak

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"nutmegstand.example/nutmegstand/test/platform/standin"
)

// fault is one kind of trouble. It lasts about d and heals before it returns.
type fault struct {
	name   string
	inject func(s *soak, m *machine, d time.Duration) error
	// alone says that it holds the machine's daemon or target for itself.
	alone bool
}

const (
	shortestFault = 100 * time.Millisecond
	longestFault  = 2500 * time.Millisecond
	longestPause  = 400 * time.Millisecond // between the starts of two faults
	longestDelay  = 150 * time.Millisecond
	datagramLoss  = 0.5
)

func wireFault(c condition) func(*soak, *machine, time.Duration) error {
	return func(s *soak, m *machine, d time.Duration) error {
		w := m.wires()[int(d)%len(m.wires())]
		w.set(c)
		time.Sleep(d)
		w.set(condition{})
		return nil
	}
}

func storeFault(f standin.Fault) func(*soak, *machine, time.Duration) error {
	return func(s *soak, _ *machine, d time.Duration) error {
		s.store.Inject(func(r *http.Request) standin.Fault {
			if rand.IntN(3) == 0 {
				return standin.Serve
			}
			return f
		})
		time.Sleep(d)
		s.store.Always(standin.Serve)
		return nil
	}
}

func moodFault(m mood) func(*soak, *machine, time.Duration) error {
	return func(_ *soak, machine *machine, d time.Duration) error {
		_, t, _ := machine.current()
		t.mood.Store(&m)
		time.Sleep(d)
		t.mood.Store(&mood{})
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
		m.awaitStart(d) // no program handles a signal while it is being loaded
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
		t.leave()
		return m.startTarget()
	}, true},
	{"target replaced around a restart", func(_ *soak, m *machine, d time.Duration) error {
		p, t, _ := m.current()
		left := make(chan struct{})
		go func() { t.leave(); close(left) }()
		time.Sleep(d / 8)
		p.Kill()
		if err := m.start(); err != nil {
			return err
		}
		<-left
		return m.startTarget()
	}, true},
	{"target slow", moodFault(mood{slow: true}), false},
	{"target loses answers", moodFault(mood{lose: true}), false},
	{"target fails", moodFault(mood{fail: true}), false},
	{"delay", wireFault(condition{delay: longestDelay, loss: datagramLoss}), false},
	{"silence", wireFault(condition{cutTo: true, cutBack: true}), false},
	{"cut to", wireFault(condition{cutTo: true}), false},
	{"cut back", wireFault(condition{cutBack: true, loss: 1}), false},
	{"reset", func(_ *soak, m *machine, d time.Duration) error {
		for _, w := range m.wires() {
			w.reset()
		}
		return nil
	}, false},
	{"machine cut off", func(_ *soak, m *machine, d time.Duration) error {
		for _, w := range m.wires() {
			w.set(condition{cutTo: true, cutBack: true})
		}
		time.Sleep(d)
		for _, w := range m.wires() {
			w.set(condition{})
		}
		return nil
	}, false},
	{"store unavailable", storeFault(standin.Unavailable), false},
	{"store throttles", storeFault(standin.Throttled), false},
	{"store loses answers", storeFault(standin.Lost), false},
	{"store writes late", storeFault(standin.Late), false},
	{"store silent", storeFault(standin.Silent), false},
	{"store garbles", storeFault(standin.Garbled), false},
	{"store forgets", func(s *soak, _ *machine, _ time.Duration) error { s.store.Compact(); return nil }, false},
	{"configuration", func(s *soak, _ *machine, _ time.Duration) error { s.configure(); return nil }, false},
	{"configurations", func(s *soak, _ *machine, _ time.Duration) error {
		for range 10 {
			s.configure()
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	}, false},
	{"all killed", func(s *soak, _ *machine, d time.Duration) error {
		for _, m := range s.machines {
			if !m.take() {
				continue
			}
			p, _, _ := m.current()
			p.Kill()
			m.disturb(1)
			defer m.release()
			defer m.disturb(-1)
			defer func() { s.check(m.start()) }()
		}
		time.Sleep(d / 2)
		return nil
	}, false},
}
