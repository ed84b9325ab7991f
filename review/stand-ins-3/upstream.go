package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that reached an upstream.
type run struct {
	id, path string
	body     int
	arrived  time.Time
	ended    time.Time // zero while it runs
	answered bool      // the whole answer was written
	left     time.Duration
}

// work says how an upstream answers a request.
type work struct {
	takes    time.Duration
	bytes    int // of the body
	cutAfter int // bytes of the body after which the connection is closed, 0 for a whole answer
	status   int // 0 for 200
}

// upstream is a stand-in of an application upstream. It works on one request at a time on
// each connection, and drops a request when its connection is closed.
type upstream struct {
	id, service, zone, address, control, version string
	slots                                        int
	born                                         int64
	heartbeat                                    time.Duration
	decide                                       func(r *http.Request, n int) work

	mu       sync.Mutex
	runs     []*run
	count    int
	sequence int
	state    string
	stopped  bool
	silent   bool          // it sends no pings
	thawed   chan struct{} // closed when the machine goes on, nil if it is not suspended
	listener net.Listener
	conns    map[net.Conn]bool
	beaten   chan struct{} // gets a value after each regular ping, if there is room
	room     chan struct{}
}

func (u *upstream) start() error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.listener, u.conns, u.state = listener, make(map[net.Conn]bool), "ready"
	u.room, u.beaten = make(chan struct{}, u.slots), make(chan struct{})
	u.born = time.Now().UnixMilli()
	if u.version == "" {
		u.version = "v1"
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns[conn] = true
			u.mu.Unlock()
			go u.serve(conn)
		}
	}()
	go func() {
		for !u.isStopped() {
			u.awaitThaw()
			u.mu.Lock()
			silent := u.silent
			u.mu.Unlock()
			if silent {
				time.Sleep(u.heartbeat)
				continue
			}
			u.beat()
			select {
			case u.beaten <- struct{}{}:
			default:
			}
			time.Sleep(u.heartbeat)
		}
	}()
	return nil
}

// suspend suspends the upstream until the returned function is called.
func (u *upstream) suspend() (goOn func()) {
	thawed := make(chan struct{})
	u.mu.Lock()
	u.thawed = thawed
	u.mu.Unlock()
	return func() {
		u.mu.Lock()
		u.thawed = nil
		u.mu.Unlock()
		close(thawed)
	}
}

func (u *upstream) awaitThaw() {
	u.mu.Lock()
	thawed := u.thawed
	u.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// leave makes the upstream say that it is draining, and returns the status of the answer.
func (u *upstream) leave() int {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	return u.beat()
}

func (u *upstream) isStopped() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopped
}

// beat sends a ping and returns the status of its answer, 0 if there is none.
func (u *upstream) beat() int {
	u.mu.Lock()
	body := u.body(u.state)
	u.mu.Unlock()
	return u.call(http.MethodPut, body)
}

// body returns the body of the next ping. The caller holds mu.
func (u *upstream) body(state string) string {
	u.sequence++
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":%q,"zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"warmup_left_ms":0}}`,
		u.address, u.born, u.service, u.version, u.zone, u.slots, state, u.sequence)
}

func (u *upstream) call(method, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+u.control+"/v1/instances/"+u.id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func (u *upstream) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		u.mu.Lock()
		delete(u.conns, conn)
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if r.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		left, _ := strconv.Atoi(r.Header.Get("Time-Remaining"))
		if !u.work(conn, reader, r, id, len(body), time.Duration(left)*time.Millisecond) {
			return
		}
	}
}

// work runs a request. It reports whether the connection can be used again.
func (u *upstream) work(conn net.Conn, reader *bufio.Reader, r *http.Request, id string, body int, left time.Duration) bool {
	closed := make(chan struct{})
	done := make(chan struct{})
	peeked := make(chan struct{})
	go func() { // notices that the connection is closed while the request waits or runs
		defer close(peeked)
		if _, err := reader.Peek(1); err != nil {
			select {
			case <-done:
			default:
				close(closed)
			}
		}
	}()
	stopPeek := func() {
		close(done)
		_ = conn.SetReadDeadline(time.Now())
		<-peeked
		_ = conn.SetReadDeadline(time.Time{})
	}
	u.mu.Lock()
	u.count++
	x := &run{id: id, path: r.URL.Path, body: body, arrived: time.Now(), left: left}
	u.runs = append(u.runs, x)
	w := u.decide(r, u.count)
	u.mu.Unlock()
	select {
	case u.room <- struct{}{}:
		defer func() { <-u.room }()
	case <-closed:
		u.finish(x, false)
		return false
	}
	select {
	case <-time.After(w.takes):
	case <-closed:
		u.finish(x, false)
		return false
	}
	u.awaitThaw()
	stopPeek()
	status := w.status
	if status == 0 {
		status = http.StatusOK
	}
	content := bytes.Repeat([]byte{'a' + byte(len(id)%26)}, w.bytes)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nResponse-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), id, u.id, id, len(content))
	if w.cutAfter > 0 {
		_, _ = conn.Write(content[:w.cutAfter])
		u.finish(x, false)
		return false
	}
	_, err := conn.Write(content)
	u.finish(x, err == nil)
	return err == nil
}

func (u *upstream) finish(x *run, answered bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	x.ended, x.answered = time.Now(), answered
}

// lastRun returns when the last request arrived. The caller holds mu.
func (u *upstream) lastRun() time.Time {
	if len(u.runs) == 0 {
		return time.Time{}
	}
	return u.runs[len(u.runs)-1].arrived
}

// find returns the runs of a request.
func (u *upstream) find(id string) []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var found []run
	for _, x := range u.runs {
		if x.id == id {
			found = append(found, *x)
		}
	}
	return found
}

func (u *upstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	if u.listener != nil {
		_ = u.listener.Close()
	}
	for conn := range u.conns {
		_ = conn.Close()
	}
}
