package proxy

import (
	"errors"
	"io"
	"math"
)

// headLimit bounds the bytes that are read for one message header. The parsers of
// net/http read lines and headers of any length.
type headLimit struct {
	io.Reader
	left   int64
	active bool                  // a header is being read
	onRead func(bytes int) error // called after each read of a header, may be nil
	cause  error                 // why the header cannot be read further: its size, or an error of onRead
}

func newHeadLimit(r io.Reader) *headLimit { return &headLimit{Reader: r, left: math.MaxInt64} }

var errHeaderTooLarge = errors.New("proxy: message header too large")

// start begins a header of at most the given size.
func (l *headLimit) start(bytes int) { l.left, l.active, l.cause = int64(bytes), true, nil }

// stop ends the header. What follows is not bounded.
func (l *headLimit) stop() { l.left, l.active = math.MaxInt64, false }

func (l *headLimit) exceeded() bool { return l.left <= 0 }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.cause == nil && l.exceeded() {
		l.cause = errHeaderTooLarge
	}
	if l.active && l.cause != nil {
		return 0, l.cause
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.Reader.Read(p)
	l.left -= int64(n)
	if l.active && l.onRead != nil && n > 0 {
		if l.cause = l.onRead(n); l.cause != nil {
			return 0, l.cause
		}
	}
	return n, err
}
