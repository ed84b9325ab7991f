// Package headtest holds lines of response heads that are malformed, and a server that
// sends them, for the tests of all packages that read responses.
package headtest

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// StatusLines are status lines that no response of HTTP/1.1 to a request without an
// upgrade has.
var StatusLines = []string{
	"HTTP/1.1 000 Down", "HTTP/1.1 000", "HTTP/1.1 0 Down", "HTTP/1.1 099 Down", "HTTP/1.1 +20 Down", "HTTP/1.1 -00 Down", "HTTP/1.1 20 Down",
	"HTTP/1.1 2000 Down", "HTTP/1.1 20x Down", "HTTP/1.1200 Down", "HTTP/1.1", "HTTQ/1.1 200 OK", "SSH-2.0 200 OK",
	"HTTP/1.1 101 Switching Protocols",
}

// Fields are lines that are no field: their name has a byte which is none of a token, or
// their value has a control byte.
var Fields = []string{
	"X Trace: 1", "X-Trace : 1", "X-Trace\t: 1", "X\tTrace: 1", "X\x00Trace: 1", "X\x01Trace: 1", "X\x1fTrace: 1", "X\x7fTrace: 1",
	"X\rTrace: 1", "X-Trace\r: 1", "X\xa0Trace: 1", "X(Trace): 1", ": 1", "X-Trace", " X-Trace: 1", "\tX-Trace: 1", " : 1",
	"Content-Length : 2", "Content Length: 2", " Content-Length: 2", "Transfer-Encoding : chunked",
	"X-Trace: a\x00b", "X-Trace: a\x01b", "X-Trace: a\x7fb", "X-Trace: a\rb", "X-Trace: a\r",
}

// Folded reports whether a line of Fields can be read as the rest of a folded value, which
// net/http accepts.
func Folded(line string) bool { return line[0] == ' ' || line[0] == '\t' }

// Serve starts a server that reads one request on each connection, writes the given bytes
// and closes the connection. It returns the address of the server.
func Serve(t testing.TB, response string) string {
	t.Helper()
	return Listen(t, func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_ = request.Body.Close() // reads it: unread bytes would reset the connection
		_, _ = conn.Write([]byte(response))
	})
}

// Listen starts a server that calls serve with each connection and closes the connection
// after that. It returns the address of the server.
func Listen(t testing.TB, serve func(conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}
