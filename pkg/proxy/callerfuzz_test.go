package proxy_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/connlimit"
	"nutmegstand.example/nutmegstand/pkg/proxy"
)

// startFuzzServer starts a server with a pool whose state shows what connections leave
// behind.
func startFuzzServer(f *testing.F) (*callerServer, *connlimit.Pool) {
	pool := connlimit.NewPool(connlimit.Limits{Connections: 100, Memory: 1 << 20})
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(w, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})
	return startLimitedServer(f, echo, func(o *proxy.CallerServerOptions) {
		o.Pool = pool
		o.Limits = func() proxy.CallerLimits {
			return proxy.CallerLimits{HeaderBytes: 4 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second}
		}
	}), pool
}

// exchange sends bytes on a new connection. With end it then closes the outgoing
// direction, which the server takes for a caller that has left.
func (s *callerServer) exchange(t *testing.T, data []byte, end bool) *callerClient {
	c := s.dial(t)
	go func() {
		_, _ = c.Write(data) // the server may close the connection first
		if end {
			_ = c.Conn.(*net.TCPConn).CloseWrite()
		}
	}()
	return c
}

// FuzzHeads guards against a head that ends the process, is taken for more requests than
// it has, or leaves memory or a connection behind.
func FuzzHeads(f *testing.F) {
	for _, seed := range []string{
		"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "\r\nGET /1 HTTP/1.1\r\nHost: h\r\nA:b\r\n c\r\n\r\n", "\r\n\r\n\r\n\r\n",
		"GET http://h/1 HTTP/1.1\nHost: h\n\n", "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"GET /1 HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\na", "GET /" + kilobyte + " HTTP/1.1\r\n",
	} {
		f.Add([]byte(seed))
	}
	s, pool := startFuzzServer(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		c := s.exchange(t, data, true)
		responses := 0
		for {
			if _, _, err := c.receive(); err != nil {
				break
			}
			responses++
		}
		assert.Assert(t, responses <= bytes.Count(data, []byte("HTTP/"))+2, "%d responses", responses)
		assert.NilError(t, c.Close())
		eventually(t, "memory or a connection is left", func() bool { return pool.Usage() == connlimit.Usage{} })
	})
}

// FuzzChunks guards against a chunked body with its extensions and trailers that is
// passed on in another form than net/http reads it, and against one that is broken and
// looks complete.
func FuzzChunks(f *testing.F) {
	const head = "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, seed := range []string{
		"3\r\nabc\r\n0\r\n\r\n", "3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\n", "0\r\n\r\nGET /1 HTTP/1.1\r\nHost: h\r\n\r\n", "00000000000000003\r\nabc\r\n0\r\n\r\n",
		"3\nabc\n0\n\n", "ffffffffffffffff\r\n", "-1\r\n", "3\r\nabcd\r\n0\r\n\r\n", "0\r\nT: " + kilobyte, "3;" + kilobyte + kilobyte + "\r\nabc\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	s, pool := startFuzzServer(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		sent := append([]byte(head), data...)
		expected, expectedErr := readBody(sent)
		c := s.exchange(t, sent, expectedErr != nil)
		_, body, err := c.receive()
		if expectedErr == nil {
			assert.NilError(t, err)
			assert.Equal(t, body, expected)
		} else {
			assert.Assert(t, err != nil, "a broken body looks complete: %q", body)
		}
		assert.NilError(t, c.Close())
		eventually(t, "memory or a connection is left", func() bool { return pool.Usage() == connlimit.Usage{} })
	})
}

// readBody returns the body of the first request as net/http reads it.
func readBody(sent []byte) (string, error) {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(sent), 4<<10))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(r.Body)
	return string(body), err
}
