package hostile

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/node"
)

const (
	ordinaryClients = 300
	pipelined       = 4
	// stagger keeps the clients from sending all at the same moment, which would be
	// more than the target can serve.
	stagger = 8 * time.Millisecond
)

// TestOrdinaryClients guards against limits that clients inside the configured limits
// notice: on connections that are idle for up to 0.8 of the idle timeout, requests that
// are sent ahead of the first response, long heads and long bodies.
func TestOrdinaryClients(t *testing.T) {
	d := startDaemon(t, node.Limits{}, targetSlots)
	var all sync.WaitGroup
	errs := make(chan error, ordinaryClients+1)
	for i := range ordinaryClients {
		all.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			errs <- ordinaryClient(d.settings.Listen.Callers)
		})
	}
	all.Go(func() { errs <- upload(d.settings.Listen.Callers) })
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	d.sendHeartbeats(done)
	close(errs)
	for err := range errs {
		assert.NilError(t, err)
	}
	log, err := os.ReadFile(d.process.Log)
	assert.NilError(t, err)
	for _, event := range []string{"connections_closed", "connections_refused"} {
		assert.Assert(t, !strings.Contains(string(log), event), "a limit took effect: %s", event)
	}
}

// sendHeartbeats sends heartbeats of the target until done is closed.
func (d *daemon) sendHeartbeats(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(d.settings.Heartbeat.Duration()):
			assert.Equal(d.t, d.heartbeat(), http.StatusOK)
		}
	}
}

func ordinaryClient(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	long := request + "A: " + strings.Repeat("x", headerBytes-len(request)-len("A: \r\n\r\n")) + "\r\n\r\n"
	for _, requests := range []string{strings.Repeat(request+"\r\n", pipelined), "\r\n" + request + "\r\n", long} {
		if _, err := io.WriteString(conn, requests); err != nil {
			return err
		}
		for range strings.Count(requests, "GET ") {
			if err := expectOK(reader); err != nil {
				return err
			}
		}
		time.Sleep(idleTimeout * 8 / 10)
	}
	return nil
}

func expectOK(reader *bufio.Reader) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return err
}

// upload sends a body of the largest size.
func upload(address string) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/look/1", bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return err
	}
	r.Host = "fish.example"
	r.Header.Set("Attempt-Id", "a-upload")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	size, err := io.ReadAll(response.Body)
	if err == nil && string(size) != strconv.Itoa(bodyBytes) {
		err = fmt.Errorf("status %d, the target received %q bytes", response.StatusCode, size)
	}
	return err
}
