package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	headClients  = 900   // connections of the clients whose heads do not end
	headBytes    = 16000 // that each of them sends, below max_header_bytes
	headMachines = 4
	headPressed  = 2                // machines whose daemons they press
	countedEnds  = 3                // of the processes of a machine, which count
	headTime     = 25 * time.Second // for which they press
)

// endlessHead returns a request with many short fields and without the empty line that
// ends a head.
func endlessHead() []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var b strings.Builder
	b.WriteString("GET /look/1 HTTP/1.1\nHost: fish.example\n")
	for i := 0; b.Len() < headBytes; i++ {
		for n := i; ; n /= len(letters) {
			b.WriteByte(letters[n%len(letters)])
			if n < len(letters) {
				break
			}
		}
		b.WriteString(":\n")
	}
	return []byte(b.String())
}

// pressHead opens connections one after the other and sends the start of a request on
// each, which it never completes.
func (t *trial) pressHead(m *machine, head []byte, end time.Time) {
	for time.Now().Before(end) && !t.stopped() {
		conn, err := net.DialTimeout("tcp", address(m.ip, t.ports.outbound), time.Second)
		if err != nil {
			t.sleep(200 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(end)
		if _, err = conn.Write(head); err == nil {
			_, _ = conn.Read(make([]byte, 1)) // until the daemon closes the connection
		}
		_ = conn.Close()
		t.sleep(50 * time.Millisecond)
	}
}

// memory returns the resident memory of the daemon without that of files, 0 if it has ended.
func (m *machine) memory() int {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(content), "RssAnon:")
	kb, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return kb << 10
}

// enforceMemory ends the daemon when it exceeds the memory of its machine and starts it
// again after a short delay, as the platform does. It returns the number of ends and the
// largest memory that was seen.
func (t *trial) enforceMemory(m *machine, until time.Time) (ends, peak int) {
	for time.Now().Before(until) && ends < countedEnds && !t.stopped() {
		t.sleep(100 * time.Millisecond)
		now := m.memory()
		peak = max(peak, now)
		exited := m.awaitExit(0)
		if now <= memoryMB<<20 && !exited {
			continue
		}
		ends++
		t.record.say("%s: %d MiB of %d MB, ended by itself: %v; the platform ends it and starts it again", m.name, now>>20, memoryMB, exited)
		m.signal(syscall.SIGKILL)
		m.awaitExit(time.Second)
		t.sleep(500 * time.Millisecond)
		if err := m.start(false); err != nil {
			t.record.say("%s does not start: %v", m.name, err)
			return ends, peak
		}
	}
	return ends, peak
}

// heads lets clients send heads without end to some daemons, and counts how often these
// exceed the memory of their machines.
func heads(t *trial, trouble bool) (bool, error) {
	t.config(1)
	if err := t.addMachines("desk", "v1", headMachines, 0, true); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if err := t.awaitReady(5 * time.Second); err != nil {
		return false, err
	}
	end := time.Now().Add(headTime)
	var mu sync.Mutex
	var group sync.WaitGroup
	over := 0
	for i, m := range t.all() {
		if trouble && i < headPressed {
			head := endlessHead()
			for range headClients {
				go t.pressHead(m, head, end)
			}
		}
		group.Add(1)
		go func() {
			defer group.Done()
			ends, peak := t.enforceMemory(m, end)
			t.record.say("%s: ended %d times, largest memory %d MiB of %d MB", m.name, ends, peak>>20, memoryMB)
			mu.Lock()
			defer mu.Unlock()
			if ends >= countedEnds {
				over++
			}
		}()
	}
	group.Wait()
	needed := max(2, (headMachines+9)/10)
	t.record.say("processes ended three times on %d of %d machines, %d break the rule", over, headMachines, needed)
	if over >= needed {
		t.record.say("Fault is broken")
		return true, nil
	}
	t.record.say("Fault holds")
	return false, nil
}
