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

// RequestError reports a request that the entry refuses before routing it.
type RequestError struct {
	Status int
	Reason string
}

func (e *RequestError) Error() string { return "route: request refused: " + e.Reason }

func refuse(status int, format string, args ...any) error {
	return &RequestError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// decodeCall takes a call out of a request. Every string and the body are
// copied, because the HTTP library reuses its buffers, and an attempt that was
// given up may still be sending.
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

// checkFraming refuses requests whose length two parsers could read in two
// ways. The library takes the last of several lengths, and a transfer encoding
// before a length.
func checkFraming(raw []byte) error {
	lengths, encodings, hosts := 0, 0, 0
	for line := range bytes.Lines(raw) {
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		if name[0] == ' ' || name[0] == '\t' {
			return refuse(400, "folded header lines are not accepted")
		}
		switch {
		case asciiEqual(name, "Host"):
			hosts++
		case asciiEqual(name, "Content-Length"):
			lengths++
			if value = bytes.TrimSpace(value); len(value) == 0 || bytes.ContainsFunc(value, notDigit) {
				return refuse(400, "Content-Length is not a number")
			}
		case asciiEqual(name, "Transfer-Encoding"):
			encodings++
			if !asciiEqual(bytes.TrimSpace(value), "chunked") {
				return refuse(400, "Transfer-Encoding other than chunked is not accepted")
			}
		}
	}
	if lengths+encodings > 1 {
		return refuse(400, "the request gives its length more than once")
	}
	if hosts > 1 {
		return refuse(400, "the request has more than one Host header")
	}
	return nil
}

func notDigit(r rune) bool { return r < '0' || r > '9' }

func asciiEqual(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// decodeTarget takes the path that routes are matched against. Dot segments are
// refused: a target that resolved them would serve another path than the one
// that was matched.
func decodeTarget(call *Call, uri, host string) error {
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return refuse(400, "the request target is malformed")
	}
	if u.Host != "" {
		host = u.Host
	}
	call.Path, call.Target = u.Path, u.RequestURI()
	if !strings.HasPrefix(call.Path, "/") {
		return refuse(400, "the request target is not a path")
	}
	for segment := range strings.SplitSeq(call.Path, "/") {
		if segment == "." || segment == ".." {
			return refuse(400, "dot segments in the path are not accepted")
		}
	}
	call.Host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(call.Host); err == nil {
		call.Host = name
	}
	if call.Host == "" {
		return refuse(400, "the request has no host")
	}
	return nil
}

// hopHeaders concern one connection only. Content-Length is set anew for the
// body that is sent on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// decodeHeaders takes the headers that go on to the target, and the state of
// the chain. The headers of a chain are accepted from the local target only.
func decodeHeaders(call *Call, header *protocol.RequestHeader, now time.Time) error {
	named := connectionNames(header)
	var failure error
	count := 0
	header.VisitAll(func(name, value []byte) {
		if count++; failure != nil {
			return
		}
		failure = decodeHeader(call, string(name), string(value), named, now)
	})
	if failure == nil && count > maxHeaders {
		failure = refuse(431, "more than %d headers", maxHeaders)
	}
	return failure
}

func decodeHeader(call *Call, name, value string, named []string, now time.Time) error {
	switch {
	case hopHeaders[name] || containsFold(named, name):
		return nil
	case name == keyHeader:
		if call.Key != "" {
			return refuse(400, "%s is given more than once", keyHeader)
		}
		if err := chain.CheckID(name, value); err != nil {
			return refuse(400, "%v", err)
		}
		call.Key = value
	case internalName(name):
		return decodeInternal(call, name, value, now)
	}
	call.Headers = append(call.Headers, &pb.Header{Name: name, Value: value})
	return nil
}

// internalName also finds spellings that a target might fold into one of the
// project's headers, such as an underscore for a hyphen.
func internalName(name string) bool {
	return strings.HasPrefix(strings.ToLower(strings.ReplaceAll(name, "_", "-")), strings.ToLower(chain.Prefix))
}

// decodeInternal takes one header of this project; none goes on to the target
// as it came.
func decodeInternal(call *Call, name, value string, now time.Time) error {
	if call.Inner || name == chain.Member {
		known, err := call.Chain.Set(name, value)
		if err != nil {
			return refuse(400, "%v", err)
		}
		if known {
			return nil
		}
	}
	if !call.Inner && name == chain.DeadlineMS {
		left, err := chain.ParseDeadlineMS(value)
		if err != nil {
			return refuse(400, "%v", err)
		}
		call.Chain.Deadline = now.Add(left)
		return nil
	}
	return refuse(400, "header %s is not accepted from callers", name)
}

// connectionNames returns the header names that the Connection header declares
// to concern this connection only.
func connectionNames(header *protocol.RequestHeader) []string {
	var names []string
	for _, value := range header.PeekAll("Connection") {
		for name := range strings.SplitSeq(string(value), ",") {
			if name = strings.TrimSpace(name); name != "" && !internalName(name) {
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
