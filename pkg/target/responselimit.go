package target

import (
	"errors"
	"io"

	"nutmegstand.example/nutmegstand/pkg/responsehead"
)

const (
	// maxHeaderBytes is the maximum size of a response header.
	maxHeaderBytes = 64 << 10
	// maxWireBytes is the maximum size of a response on the wire. It leaves room
	// for the framing of a body in small chunks.
	maxWireBytes = 2 * MaxBodyBytes
)

var (
	errHeaderTooLarge   = errors.New("target: response header too large")
	errResponseTooLarge = errors.New("target: response too large")
)

// responseLimit bounds the bytes of one response and checks its head. hertz reads headers,
// chunk sizes and trailers of any length, and heads that the protocol does not allow.
type responseLimit struct {
	io.Reader
	read int
	head responsehead.Scanner
}

// start begins a new response.
func (l *responseLimit) start() { l.read, l.head = 0, responsehead.Scanner{} }

// Read implements io.Reader. The last bytes of a malformed head are not returned, so that
// no response is parsed from it.
func (l *responseLimit) Read(p []byte) (int, error) {
	switch {
	case !l.head.Ended() && l.read >= maxHeaderBytes:
		return 0, errHeaderTooLarge
	case l.read >= maxWireBytes:
		return 0, errResponseTooLarge
	}
	n, err := l.Reader.Read(p)
	l.read += n
	if cause := l.head.Scan(p[:n]); cause != nil {
		return 0, cause
	}
	return n, err
}
