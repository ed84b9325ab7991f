package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), lastID.Add(1)) }

// request returns the bytes of a request.
func request(method, path, id string, left time.Duration, body string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Remaining: %d\r\n", method, path, host, id, left.Milliseconds())
	if body != "" || method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// client is a connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(m *machine) (*client, error) {
	conn, err := net.DialTimeout("tcp", m.at("outbound"), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

func (c *client) send(requests ...string) error {
	_, err := io.WriteString(c.conn, strings.Join(requests, ""))
	return err
}

// answer is what a client received for a request.
type answer struct {
	status    int
	id        string
	signature string
	close     bool
	bytes     int64
	err       error // if the answer is not whole
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v", a.status, a.bytes, a.err)
	}
	return fmt.Sprintf("status %d, %d bytes", a.status, a.bytes)
}

// receive reads the next answer.
func (c *client) receive(method string, timeout time.Duration) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{
		status: response.StatusCode, id: response.Header.Get("Attempt-Id"), signature: response.Header.Get("Response-Signature"), close: response.Close,
	}
	a.bytes, a.err = io.Copy(io.Discard, response.Body)
	return a
}

// ask sends one request on a new connection and returns its answer.
func ask(m *machine, method, path, id string, left time.Duration, body string) answer {
	c, err := dialClient(m)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	if err := c.send(request(method, path, id, left, body)); err != nil {
		return answer{err: err}
	}
	return c.receive(method, left+time.Second)
}

// awaitService waits until a machine answers a path with 200.
func awaitService(m *machine, path string) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if a := ask(m, http.MethodGet, path, newID(), 2*time.Second, ""); a.err == nil && a.status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s does not serve %s", m.name, path)
}
