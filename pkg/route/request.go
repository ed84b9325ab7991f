package route

import (
	"bytes"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route/chain"
)

const (
	keyHeader  = "Idempotency-Key"
	maxHeaders = 128
)

// RequestError reports a request that the entry rejects before routing it.
type RequestError struct {
	Status int
	Reason string
}

func (e *RequestError) Error() string { return "route: request refused: " + e.Reason }

func reject(status int, format string, args ...any) error {
	return &RequestError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// decodeCall decodes a call from a request. It copies all strings and the body,
// because the HTTP library reuses its buffers while an abandoned attempt may still be
// sending them.
func decodeCall(request *protocol.Request, local bool, now time.Time) (*Call, error) {
	if err := checkFraming(request.Header.RawHeaders()); err != nil {
		return nil, err
	}
	call := &Call{Method: string(request.Header.Method()), Inner: local}
	if err := decodeTarget(call, string(request.Header.RequestURI()), string(request.Header.Host())); err != nil {
		return nil, err
	}
	if err := decodeHeaders(call, &request.Header, now); err != nil {
		return nil, err
	}
	call.Body = bytes.Clone(request.Body())
	return call, nil
}

// checkFraming rejects requests whose length is ambiguous, to prevent request
// smuggling. The library uses the last of several lengths, and prefers a transfer
// encoding to a length.
func checkFraming(raw []byte) error {
	lengths, encodings, hosts := 0, 0, 0
	for line := range bytes.Lines(raw) {
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		if name[0] == ' ' || name[0] == '\t' {
			return reject(400, "folded header lines are not accepted")
		}
		switch {
		case asciiEqual(name, "Host"):
			hosts++
		case asciiEqual(name, "Content-Length"):
			lengths++
			if value = bytes.TrimSpace(value); len(value) == 0 || bytes.ContainsFunc(value, notDigit) {
				return reject(400, "Content-Length is not a number")
			}
		case asciiEqual(name, "Transfer-Encoding"):
			encodings++
			if !asciiEqual(bytes.TrimSpace(value), "chunked") {
				return reject(400, "Transfer-Encoding other than chunked is not accepted")
			}
		}
	}
	if lengths+encodings > 1 {
		return reject(400, "the request gives its length more than once")
	}
	if hosts > 1 {
		return reject(400, "the request has more than one Host header")
	}
	return nil
}

func notDigit(r rune) bool { return r < '0' || r > '9' }

func asciiEqual(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// decodeTarget decodes the host and the path that are matched against the routes. It
// rejects dot segments, because a target that resolves them would serve a different
// path from the matched one.
func decodeTarget(call *Call, uri, host string) error {
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return reject(400, "the request target is malformed")
	}
	if u.Host != "" {
		host = u.Host
	}
	call.Path, call.Target = u.Path, u.RequestURI()
	if !strings.HasPrefix(call.Path, "/") {
		return reject(400, "the request target is not a path")
	}
	for segment := range strings.SplitSeq(call.Path, "/") {
		if segment == "." || segment == ".." {
			return reject(400, "dot segments in the path are not accepted")
		}
	}
	call.Host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(call.Host); err == nil {
		call.Host = name
	}
	if call.Host == "" {
		return reject(400, "the request has no host")
	}
	return nil
}

// hopByHopHeaders apply to a single connection and are not forwarded. Content-Length
// is set again for the forwarded body.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// decodeHeaders decodes the headers to forward to the target and the state of the call
// chain. The headers of a call chain are accepted from the local target only. Other
// callers may set only the member and their deadline (chain.DeadlineMS).
func decodeHeaders(call *Call, header *protocol.RequestHeader, now time.Time) error {
	connectionHeaders := connectionHeaderNames(header)
	var failure error
	count := 0
	header.VisitAll(func(name, value []byte) {
		if count++; failure != nil {
			return
		}
		failure = decodeHeader(call, string(name), string(value), connectionHeaders, now)
	})
	if failure == nil && count > maxHeaders {
		failure = reject(431, "more than %d headers", maxHeaders)
	}
	return failure
}

func decodeHeader(call *Call, name, value string, connectionHeaders []string, now time.Time) error {
	switch {
	case hopByHopHeaders[name] || containsFold(connectionHeaders, name):
		return nil
	case name == keyHeader:
		if call.Key != "" {
			return reject(400, "%s is given more than once", keyHeader)
		}
		if err := chain.CheckID(name, value); err != nil {
			return reject(400, "%v", err)
		}
		call.Key = value
	case isInternalHeader(name):
		return decodeInternalHeader(call, name, value, now)
	}
	call.Headers = append(call.Headers, &pb.Header{Name: name, Value: value})
	return nil
}

// isInternalHeader reports whether a name is that of a header of the mesh, in any
// spelling that a target might treat as equal, such as an underscore for a hyphen.
func isInternalHeader(name string) bool {
	return strings.HasPrefix(strings.ToLower(strings.ReplaceAll(name, "_", "-")), strings.ToLower(chain.Prefix))
}

// decodeInternalHeader decodes one header of the mesh. These headers are never
// forwarded to the target unchanged.
func decodeInternalHeader(call *Call, name, value string, now time.Time) error {
	if call.Inner || name == chain.Member {
		recognized, err := call.Chain.Set(name, value)
		if err != nil {
			return reject(400, "%v", err)
		}
		if recognized {
			return nil
		}
	}
	if !call.Inner && name == chain.DeadlineMS {
		left, err := chain.ParseDeadlineMS(value)
		if err != nil {
			return reject(400, "%v", err)
		}
		call.Chain.Deadline = now.Add(left)
		return nil
	}
	return reject(400, "header %s is not accepted from callers", name)
}

// connectionHeaderNames returns the names of the hop-by-hop headers listed in the
// Connection header.
func connectionHeaderNames(header *protocol.RequestHeader) []string {
	var names []string
	for _, value := range header.PeekAll("Connection") {
		for name := range strings.SplitSeq(string(value), ",") {
			if name = strings.TrimSpace(name); name != "" && !isInternalHeader(name) {
				names = append(names, name)
			}
		}
	}
	return names
}

func containsFold(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}
