//go:build review

package harness

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// NewID returns the id of a new client attempt.
func NewID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), requestCount.Add(1)) }

// Request is one client attempt.
type Request struct {
	ID, Method, Path string
	Body             []byte
	Chunked          bool // the body is sent in chunks
	Budget           time.Duration

	// The client pauses for Pause after it has sent PauseAt bytes of the body.
	PauseAt int
	Pause   time.Duration
}

// Response is what the client got. Status is 0 if there was no answer.
type Response struct {
	Status    int
	Signature string
	Body      string
	Err       error
}

// chunks is a body of unknown length, which the client sends in chunks.
type chunks struct{ io.Reader }

// pause is an empty reader that waits before it ends.
type pause struct{ d time.Duration }

func (p *pause) Read([]byte) (int, error) {
	time.Sleep(p.d)
	return 0, io.EOF
}

// Send sends a request to the outbound address of a machine on a new connection.
func (m *Machine) Send(q Request) Response {
	var body io.Reader = http.NoBody
	if len(q.Body) > 0 {
		body = bytes.NewReader(q.Body)
		if q.Chunked {
			body = chunks{body}
			if q.Pause > 0 {
				body = chunks{io.MultiReader(bytes.NewReader(q.Body[:q.PauseAt]), &pause{q.Pause}, bytes.NewReader(q.Body[q.PauseAt:]))}
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.Budget+300*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+m.Outbound()+q.Path, body)
	if err != nil {
		return Response{Err: err}
	}
	r.Host = Host
	r.Header.Set(HeaderID, q.ID)
	r.Header.Set(HeaderTime, strconv.FormatInt(q.Budget.Milliseconds(), 10))
	m.cluster.Record.Add("client sends %s to %s: %s %s, body of %d bytes", q.ID, m.Name, q.Method, q.Path, len(q.Body))
	// A transport without idle connections sends a request once only.
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		m.cluster.Record.Add("client gets no answer to %s: %v", q.ID, err)
		return Response{Err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	answer := Response{Status: response.StatusCode, Signature: response.Header.Get(HeaderSignature), Body: string(content), Err: err}
	m.cluster.Record.Add("client gets %d to %s", answer.Status, q.ID)
	return answer
}
