package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net/textproto"

	"nutmegstand.example/nutmegstand/pkg/responsehead"
)

// headLimit bounds the bytes and lines that are read for one message header. The parsers
// of net/http read lines and headers of any length, and a decoded field takes many times
// the memory of its bytes.
type headLimit struct {
	io.Reader
	left   int64
	lines  int64                        // that may still be read
	record *bytes.Buffer                // receives a copy of the bytes of the header, nil if not needed
	active bool                         // a header is being read
	onRead func(bytes, lines int) error // called after each read of a header, may be nil
	syntax *responsehead.Scanner        // checks the header of a response, nil for a request
	cause  error                        // why the header cannot be read further: its size, its syntax, or an error of onRead
}

func newHeadLimit(r io.Reader) *headLimit {
	return &headLimit{Reader: r, left: math.MaxInt64, lines: math.MaxInt64}
}

var errHeaderTooLarge = errors.New("proxy: message header too large")

// start begins a header of at most the given size.
func (l *headLimit) start(bytes int) {
	l.left, l.lines, l.active, l.cause = int64(bytes), math.MaxInt64, true, nil
}

// startResponse begins the header of a response, of at most the given size and number of
// lines. received is the part of it that has been read already.
func (l *headLimit) startResponse(bytes, lines int, received []byte) {
	l.start(bytes)
	l.lines = int64(lines)
	l.syntax = &responsehead.Scanner{}
	l.cause = l.syntax.Scan(received)
}

// stop ends the header. What follows is not bounded.
func (l *headLimit) stop() {
	l.left, l.lines, l.active, l.record = math.MaxInt64, math.MaxInt64, false, nil
	l.syntax = nil
}

func (l *headLimit) exceeded() bool { return l.left <= 0 || l.lines <= 0 }

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
	if l.record != nil {
		_, _ = l.record.Write(p[:n]) // a buffer does not fail
	}
	if !l.active || n == 0 {
		return n, err
	}
	if l.syntax != nil {
		if l.cause = l.syntax.Scan(p[:n]); l.cause != nil {
			return 0, l.cause
		}
	}
	lines := headerLines(p[:n])
	l.lines -= int64(lines)
	if l.onRead != nil {
		if l.cause = l.onRead(n, lines); l.cause != nil {
			return 0, l.cause
		}
	}
	return n, err
}

// headerLines returns the number of lines of a header in bytes that were read, without
// those of a body that follows.
func headerLines(read []byte) int {
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if header, _, found := bytes.Cut(read, []byte(end)); found {
			read = header
		}
	}
	return bytes.Count(read, []byte{'\n'})
}

var errOldChunks = errors.New("proxy: HTTP/1.0 request with a transfer encoding")

// recordOldRequest records the header that reader reads next from l, unless it is known
// to be one of HTTP/1.1.
func (l *headLimit) recordOldRequest(reader *bufio.Reader) {
	buffered, _ := reader.Peek(reader.Buffered()) // does not read
	line, _, found := bytes.Cut(buffered, []byte("\n"))
	if !found || !bytes.HasSuffix(bytes.TrimSuffix(line, []byte("\r")), []byte("HTTP/1.1")) {
		l.record = bytes.NewBuffer(bytes.Clone(buffered))
	}
}

// checkOldRequest returns an error if the recorded header of an HTTP/1.0 request names a
// transfer encoding. HTTP/1.0 has none, and net/http ignores it, so that the request
// would run without its body.
func (l *headLimit) checkOldRequest() error {
	if l.record == nil {
		return nil
	}
	reader := textproto.NewReader(bufio.NewReader(l.record))
	if _, err := reader.ReadLine(); err != nil {
		return err
	}
	header, err := reader.ReadMIMEHeader()
	if err == nil && header["Transfer-Encoding"] != nil {
		err = errOldChunks
	}
	return err
}
