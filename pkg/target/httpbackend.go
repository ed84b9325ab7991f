package target

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// HeaderDeadlineAt is the request header with the deadline in Unix
	// milliseconds. An absolute time is valid because the target and its daemon
	// share the clock of their VM.
	HeaderDeadlineAt = "Nutmegstand-Deadline-At"
	// HeaderExchange is the request header with an ID of the exchange. A target that
	// returns it in its responses allows to detect a response to another request.
	HeaderExchange = "Nutmegstand-Exchange"
	// dialTimeout is the timeout of a connection attempt to the target on this VM.
	dialTimeout = time.Second
	// idleTimeout is the time after its last exchange at which an idle connection is
	// closed. It is shorter than the timeout of common HTTP servers (60 s and more),
	// so that the target does not close the connection first.
	idleTimeout = 45 * time.Second
	// MaxBodyBytes is the maximum size of request and response bodies.
	MaxBodyBytes = 4 << 20
)

// HTTPBackend is a Backend for a target that serves HTTP/1.1. It reuses a
// connection only after a complete response, so that data which arrives late
// cannot be mistaken for the response to a later request.
type HTTPBackend struct {
	// Headers returns the request headers that carry the call chain. If nil, only
	// the deadline header is added. It must be set before use.
	Headers func(head *pb.CallHead, received time.Time) []*pb.Header

	mu         sync.Mutex
	address    string
	limit      int // maximum number of connections
	minOpen    int // connections opened in advance
	open       int // connections that are open or being opened
	idle       []*targetConn
	dialing    int           // background dials in progress
	dialDone   chan struct{} // closed and replaced when a background dial ends
	echoes     bool          // the target has returned HeaderExchange
	generation int           // incremented when the address changes; connections of earlier generations are closed
	closed     bool
}

// NewHTTPBackend returns a backend without a target.
func NewHTTPBackend() *HTTPBackend { return &HTTPBackend{dialDone: make(chan struct{})} }

// SetTarget sets the target's address. It opens minOpen connections in advance and
// keeps at most limit open. Connections to a previous address are closed, those in
// use when their exchange ends.
func (b *HTTPBackend) SetTarget(address string, limit, minOpen int) {
	b.mu.Lock()
	var dropped []*targetConn
	if address != b.address {
		dropped, b.idle = b.idle, nil
		b.generation++
		b.open = 0
		b.echoes = false
	}
	b.address, b.limit, b.minOpen = address, max(limit, 1), min(minOpen, max(limit, 1))
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

// Close closes the idle connections and prevents new ones.
func (b *HTTPBackend) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.SetTarget("", 0, 0)
}

// fill opens connections in the background until minOpen are open.
func (b *HTTPBackend) fill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.address == "" {
		return
	}
	for n := min(b.minOpen, b.limit) - b.open; n > 0; n-- {
		b.open++
		b.dialing++
		go b.dialInBackground(b.address, b.generation)
	}
}

func (b *HTTPBackend) dialInBackground(address string, generation int) {
	conn, err := dialTarget(address, generation)
	if err != nil {
		b.decrementOpen(generation)
	} else {
		b.put(conn)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dialing--
	close(b.dialDone)
	b.dialDone = make(chan struct{})
}

func (b *HTTPBackend) decrementOpen(generation int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if generation == b.generation {
		b.open--
	}
}

// Open implements Backend.
func (b *HTTPBackend) Open(ctx context.Context) (Exchange, error) {
	for {
		conn, address, generation, wait, err := b.reserve()
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
			if conn, err = dialTarget(address, generation); err != nil {
				b.decrementOpen(generation)
				return nil, &DownError{Cause: err}
			}
		} else if !conn.reusable() {
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

// reserve returns an idle connection; or a nil connection and the address and
// generation to dial; or, if the limit is reached and dials are in progress, a
// channel that is closed when one of them ends.
func (b *HTTPBackend) reserve() (conn *targetConn, address string, generation int, wait <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.address == "" {
		return nil, "", 0, nil, &DownError{Cause: errors.New("no address")}
	}
	if n := len(b.idle); n > 0 {
		conn = b.idle[n-1]
		b.idle = b.idle[:n-1]
		return conn, b.address, b.generation, nil, nil
	}
	if b.open >= b.limit && b.dialing > 0 {
		return nil, "", 0, b.dialDone, nil
	}
	if b.open >= b.limit {
		return nil, "", 0, nil, &BusyError{Limit: b.limit}
	}
	b.open++
	return nil, b.address, b.generation, nil, nil
}

// put adds a connection without an exchange in progress to the idle ones. It closes
// the connection instead if it is of an earlier generation or exceeds the limit.
func (b *HTTPBackend) put(conn *targetConn) {
	b.mu.Lock()
	if conn.generation == b.generation && b.open <= b.limit && !conn.isClosed() {
		b.idle = append(b.idle, conn)
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	b.drop(conn)
}

// drop closes a connection and opens a replacement if fewer than minOpen remain.
func (b *HTTPBackend) drop(conn *targetConn) {
	conn.close()
	b.decrementOpen(conn.generation)
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
func (e *httpExchange) Do(ctx context.Context, request *Request) (*Response, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	e.backend.buildRequest(req, request, e.conn.address)
	id := strconv.FormatUint(rand.Uint64(), 36)
	req.Header.Set(HeaderExchange, id)
	e.conn.limit.start()
	stop := context.AfterFunc(ctx, e.conn.close)
	err := e.conn.client.Do(context.WithoutCancel(ctx), req, resp)
	if !stop() && err == nil {
		err = ctx.Err() // the connection was closed just after the response was read
	}
	// hertz treats any read error as the end of a body without a length, so only
	// the connection's read error shows that the response is incomplete.
	if cause := e.conn.consumeReadError(); cause != nil {
		err = cause
	}
	if err == nil {
		err = e.checkResponse(resp, id)
	}
	if err != nil {
		e.backend.drop(e.conn)
		return nil, &IncompleteResponseError{Reset: ctx.Err() == nil && isReset(err), Cause: err}
	}
	response := copyResponse(resp)
	if e.conn.isClosed() { // the response had "Connection: close"
		e.backend.drop(e.conn)
	} else {
		e.backend.put(e.conn)
	}
	return response, nil
}

var errInterimResponse = errors.New("target: an interim response without a final one")

// ForeignResponseError reports a response that belongs to another request: a second,
// late copy of an earlier response on a connection that is in use again.
type ForeignResponseError struct{ Want, Got string }

func (e *ForeignResponseError) Error() string {
	return fmt.Sprintf("target: response with %s %q, want %q", HeaderExchange, e.Got, e.Want)
}

// checkResponse reports whether a response can be the one to the request with the given
// ID. Only a target that echoes the ID allows to tell; once it has, it must always.
func (e *httpExchange) checkResponse(resp *protocol.Response, id string) error {
	if resp.StatusCode() < consts.StatusOK {
		return errInterimResponse
	}
	echoed := string(resp.Header.Peek(HeaderExchange))
	b := e.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	if echoed == id && e.conn.generation == b.generation {
		b.echoes = true
	}
	if echoed != id && (echoed != "" || b.echoes) {
		return &ForeignResponseError{Want: id, Got: echoed}
	}
	return nil
}

func (b *HTTPBackend) buildRequest(req *protocol.Request, request *Request, address string) {
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

func copyResponse(resp *protocol.Response) *Response {
	response := &Response{Status: int32(resp.StatusCode()), Body: append([]byte(nil), resp.Body()...)}
	resp.Header.VisitAll(func(key, value []byte) {
		if name := string(key); !isConnectionHeader(name) && name != HeaderExchange {
			response.Headers = append(response.Headers, &pb.Header{Name: name, Value: string(value)})
		}
	})
	return response
}
