package target

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// HeaderDeadlineAt tells the target the deadline as Unix milliseconds. The
	// target and its daemon share the clock of their VM.
	HeaderDeadlineAt = "Nutmegstand-Deadline-At"
	// dialTimeout bounds a connection attempt to the target on this VM.
	dialTimeout = time.Second
	// idleTimeout closes connections that were not used, before common HTTP
	// servers do so from their side (60 s and more).
	idleTimeout = 45 * time.Second
	// MaxBodyBytes bounds the bodies of requests and answers.
	MaxBodyBytes = 4 << 20
)

// HTTPBackend reaches a target over HTTP/1.1. A connection that ended an
// exchange in any other way than with a whole answer is closed, so that nothing
// that arrives late on it can be taken for the answer of a later request.
type HTTPBackend struct {
	// Headers returns the request headers that carry the call chain; nil for
	// the deadline only. It is set before use.
	Headers func(head *pb.CallHead, received time.Time) []*pb.Header

	mu      sync.Mutex
	address string
	limit   int // connections that the target accepts
	ahead   int // connections kept open in advance
	open    int // open or being opened
	idle    []*targetConn
	dialing int           // opened in advance, not yet idle
	changed chan struct{} // closed when a connection opened in advance is ready or failed
	round   int           // changes with the address; connections of earlier rounds are closed
	closed  bool
}

// NewHTTPBackend returns a backend without a target.
func NewHTTPBackend() *HTTPBackend { return &HTTPBackend{changed: make(chan struct{})} }

// SetTarget connects to a target: ahead connections are opened in advance and
// at most limit are open at a time. Connections to an earlier address are closed
// when their exchange ends.
func (b *HTTPBackend) SetTarget(address string, limit, ahead int) {
	b.mu.Lock()
	var dropped []*targetConn
	if address != b.address {
		dropped, b.idle = b.idle, nil
		b.round++
		b.open = 0
	}
	b.address, b.limit, b.ahead = address, max(limit, 1), min(ahead, max(limit, 1))
	for b.open > b.limit && len(b.idle) > 0 {
		dropped = append(dropped, b.idle[0])
		b.idle = b.idle[1:]
		b.open--
	}
	b.mu.Unlock()
	for _, conn := range dropped {
		conn.close()
	}
	b.fill()
}

// Close closes the idle connections and opens no more.
func (b *HTTPBackend) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.SetTarget("", 0, 0)
}

// fill opens connections in the background until as many as wanted are idle.
func (b *HTTPBackend) fill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.address == "" {
		return
	}
	for n := min(b.ahead, b.limit) - b.open; n > 0; n-- {
		b.open++
		b.dialing++
		go b.dialAhead(b.address, b.round)
	}
}

func (b *HTTPBackend) dialAhead(address string, round int) {
	conn, err := dialTarget(address, round)
	if err != nil {
		b.forget(round)
	} else {
		b.put(conn)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dialing--
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *HTTPBackend) forget(round int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if round == b.round {
		b.open--
	}
}

// Open implements Backend.
func (b *HTTPBackend) Open(ctx context.Context) (Exchange, error) {
	for {
		conn, address, round, wait, err := b.reserve()
		if err != nil {
			return nil, err
		}
		if wait != nil {
			select {
			case <-wait:
				continue
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		if conn == nil {
			if conn, err = dialTarget(address, round); err != nil {
				b.forget(round)
				return nil, &DownError{Cause: err}
			}
		} else if !conn.wake() {
			b.drop(conn)
			continue
		}
		if err := ctx.Err(); err != nil {
			b.put(conn)
			return nil, err
		}
		return &httpExchange{backend: b, conn: conn}, nil
	}
}

// reserve takes an idle connection, or the right to open one, or returns a
// channel to wait on while the last connections allowed are being opened.
func (b *HTTPBackend) reserve() (conn *targetConn, address string, round int, wait <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.address == "" {
		return nil, "", 0, nil, &DownError{Cause: errors.New("no address")}
	}
	if n := len(b.idle); n > 0 {
		conn = b.idle[n-1]
		b.idle = b.idle[:n-1]
		return conn, b.address, b.round, nil, nil
	}
	if b.open >= b.limit && b.dialing > 0 {
		return nil, "", 0, b.changed, nil
	}
	if b.open >= b.limit {
		return nil, "", 0, nil, &BusyError{Limit: b.limit}
	}
	b.open++
	return nil, b.address, b.round, nil, nil
}

// put returns a connection after a whole answer.
func (b *HTTPBackend) put(conn *targetConn) {
	b.mu.Lock()
	if conn.round == b.round && b.open <= b.limit && !conn.isClosed() {
		b.idle = append(b.idle, conn)
		conn.watch(func() { b.dropIdle(conn) })
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	b.drop(conn)
}

// dropIdle closes an idle connection on which something arrived: its end, or
// bytes that belong to no request.
func (b *HTTPBackend) dropIdle(conn *targetConn) {
	b.mu.Lock()
	for i, other := range b.idle {
		if other == conn {
			b.idle = append(b.idle[:i], b.idle[i+1:]...)
			b.mu.Unlock()
			b.drop(conn)
			return
		}
	}
	b.mu.Unlock()
}

// drop closes a connection and opens another in its place.
func (b *HTTPBackend) drop(conn *targetConn) {
	conn.close()
	b.forget(conn.round)
	b.fill()
}

// Accepts implements Backend.
func (b *HTTPBackend) Accepts(ctx context.Context) bool {
	b.mu.Lock()
	address := b.address
	b.mu.Unlock()
	if address == "" {
		return false
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// httpExchange is one exchange on a reserved connection.
type httpExchange struct {
	backend *HTTPBackend
	conn    *targetConn
}

// Release implements Exchange.
func (e *httpExchange) Release() { e.backend.put(e.conn) }

// Do implements Exchange.
func (e *httpExchange) Do(ctx context.Context, request *Request) (*Answer, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	e.backend.fillRequest(req, request, e.conn.address)
	stop := context.AfterFunc(ctx, e.conn.close)
	err := e.conn.client.Do(context.WithoutCancel(ctx), req, resp)
	if !stop() && err == nil {
		err = ctx.Err() // closed just after the answer was read
	}
	// hertz takes any read error for the end of a body without a length, so the
	// connection tells whether the answer is whole.
	if cause := e.conn.takeReadError(); cause != nil {
		err = cause
	}
	if err != nil {
		e.backend.drop(e.conn)
		return nil, &CutError{Reset: ctx.Err() == nil && isReset(err), Cause: err}
	}
	answer := copyAnswer(resp)
	if e.conn.isClosed() { // the answer said "Connection: close"
		e.backend.drop(e.conn)
	} else {
		e.backend.put(e.conn)
	}
	return answer, nil
}

func (b *HTTPBackend) fillRequest(req *protocol.Request, request *Request, address string) {
	head := request.Head
	host := head.GetHost()
	if host == "" {
		host = address
	}
	req.SetRequestURI("http://" + host + head.GetPath())
	req.Header.SetMethod(head.GetMethod())
	for _, h := range head.GetHeaders() {
		if !isConnectionHeader(h.GetName()) {
			req.Header.Add(h.GetName(), h.GetValue())
		}
	}
	if head.GetKey() != "" {
		req.Header.Set("Idempotency-Key", head.GetKey())
	}
	if b.Headers != nil {
		for _, h := range b.Headers(head, request.Received) {
			req.Header.Set(h.GetName(), h.GetValue())
		}
	}
	req.Header.Set(HeaderDeadlineAt, strconv.FormatInt(request.Deadline.UnixMilli(), 10))
	req.SetBodyRaw(request.Body)
}

func copyAnswer(resp *protocol.Response) *Answer {
	answer := &Answer{Status: int32(resp.StatusCode()), Body: append([]byte(nil), resp.Body()...)}
	resp.Header.VisitAll(func(key, value []byte) {
		if name := string(key); !isConnectionHeader(name) {
			answer.Headers = append(answer.Headers, &pb.Header{Name: name, Value: string(value)})
		}
	})
	return answer
}
