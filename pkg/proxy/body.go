package proxy

import (
	"errors"
	"io"
	"sync"
)

// replayLimit is the size up to which a request body is kept, so that the
// request can be sent to a second target.
const replayLimit = 64 << 10

// errBodyReplaced ends a reader whose attempt was given up.
var errBodyReplaced = errors.New("proxy: the body is sent with another attempt")

// Body is a request body that can be read again from its start as long as no
// more than replayLimit of it was read.
type Body struct {
	Length int64 // -1 if it is not known
	source io.Reader

	reading sync.Mutex // serializes reads of the source

	mu       sync.Mutex
	kept     []byte
	overflow bool
	err      error // that ended the source
	reader   *bodyReader
}

// NewBody returns a body with a source that is read once.
func NewBody(source io.Reader, length int64) *Body { return &Body{source: source, Length: length} }

// Replayable reports whether the body can be sent again.
func (b *Body) Replayable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflow
}

// Prefetch reads a body of known, small length, so that it leaves in one piece.
func (b *Body) Prefetch() error {
	if b.Length < 0 || b.Length > replayLimit {
		return nil
	}
	kept := make([]byte, b.Length)
	n, err := io.ReadFull(b.source, kept)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept = kept[:n]
	b.err = io.EOF
	if err != nil {
		b.err = err
	}
	return err
}

// complete returns the whole body if it was read already.
func (b *Body) complete() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept, errors.Is(b.err, io.EOF) && !b.overflow
}

// Reader returns a reader from the start and ends the one before.
func (b *Body) Reader() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = &bodyReader{body: b}
	return b.reader
}

type bodyReader struct {
	body   *Body
	offset int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.reading.Lock()
	defer b.reading.Unlock()
	if n, done, err := r.readKept(p); done {
		return n, err
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	if !b.overflow && len(b.kept)+n <= replayLimit {
		b.kept = append(b.kept, p[:n]...)
		r.offset += n
	} else if n > 0 {
		b.overflow, b.kept = true, nil
	}
	if b.reader != r {
		return 0, errBodyReplaced
	}
	if n > 0 {
		return n, nil
	}
	return n, err
}

// readKept serves what was read from the source before. It reports false if
// the source has to be read.
func (r *bodyReader) readKept(p []byte) (n int, done bool, err error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != r {
		return 0, true, errBodyReplaced
	}
	if r.offset < len(b.kept) {
		n := copy(p, b.kept[r.offset:])
		r.offset += n
		return n, true, nil
	}
	return 0, b.err != nil, b.err
}
