package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	headClients = 900              // connections of the clients whose heads do not end
	headBytes   = 16000            // that each of them sends, below max_header_bytes
	headTime    = 15 * time.Second // for which they press
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

// peakMemory returns the largest resident memory of a daemon so far, 0 if it has ended.
func (m *machine) peakMemory() int {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(content), "VmHWM:")
	kb, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return kb << 10
}

// heads lets clients send heads without end, and measures the memory of the daemon.
func heads(t *trial, trouble bool) (bool, error) {
	t.config(1)
	if err := t.addMachines("desk", "v1", 2, 0, true); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if err := t.awaitReady(5 * time.Second); err != nil {
		return false, err
	}
	m := t.all()[0]
	t.record.say("%s: peak memory %d MB before", m.name, m.peakMemory()>>20)
	end := time.Now().Add(headTime)
	if trouble {
		head := endlessHead()
		for range headClients {
			go t.pressHead(m, head, end)
		}
	}
	peak, ended := 0, false
	for time.Now().Before(end) && !ended {
		t.sleep(500 * time.Millisecond)
		now := m.peakMemory()
		ended = m.awaitExit(0)
		peak = max(peak, now)
		t.record.log("%s: peak memory %d MB", m.name, now>>20)
	}
	t.sleep(3 * time.Second)
	status := 0
	client := http.Client{Timeout: 3 * time.Second}
	if response, err := client.Get("http://" + address(m.ip, t.ports.ready) + "/v1/readiness"); err == nil {
		status = response.StatusCode
		_ = response.Body.Close()
	}
	t.record.say("%s: peak memory %d MB of %d MB, process ended: %v, readiness afterwards: %d", m.name, peak>>20, memoryMB, ended, status)
	if peak > memoryMB<<20 || ended {
		t.record.say("the process does not stay within the memory of its machine")
		return true, nil
	}
	t.record.say("the process stays within the memory of its machine")
	return false, nil
}
