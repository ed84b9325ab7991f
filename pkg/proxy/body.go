package proxy

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// replayLimit is the size in bytes up to which a request body is buffered, so
// that the request can be retried at another target.
const replayLimit = 64 << 10

var (
	// errBodySuperseded is returned by the reader of an abandoned attempt.
	errBodySuperseded = errors.New("proxy: the body is sent with another attempt")
	// errBodyDropped is returned by a reader that would have to skip a part of the body.
	errBodyDropped = errors.New("proxy: the start of the body is no longer buffered")
)

// Body is a request body that can be read again from its start as long as no
// more than replayLimit bytes of it have been read. A reader returns the body from
// its start, without a gap, or an error.
type Body struct {
	Length int64 // -1 if unknown
	source io.Reader

	reading sync.Mutex // serializes reads of the source

	mu       sync.Mutex
	buffered []byte // all that was read of the source, unless dropped
	dropped  bool
	prefix   uint64 // hash of the first replayLimit bytes, set when they are dropped
	position int64  // number of bytes read of the source
	err      error  // error that ended the source, io.EOF after the whole body
	reader   *bodyReader
}

// NewBody returns a body that reads source once.
func NewBody(source io.Reader, length int64) *Body { return &Body{source: source, Length: length} }

// Rewind prepares another attempt, and reports whether the body can be sent again. The
// reader of the previous attempt is invalidated, so that it cannot read on and drop the
// start. A request without a body can always be sent again.
func (b *Body) Rewind() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.dropped {
		b.reader = nil
	}
	return !b.dropped
}

// Prefetch buffers a small body of known length, so that it is sent in one
// write.
func (b *Body) Prefetch() error {
	if b.Length < 0 || b.Length > replayLimit {
		return nil
	}
	buffered := make([]byte, b.Length)
	n, err := io.ReadFull(b.source, buffered)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buffered, b.position = buffered[:n], int64(n)
	b.err = io.EOF
	if err != nil {
		b.err = err
	}
	return err
}

// complete returns the buffered body, and reports whether it is the whole body.
func (b *Body) complete() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffered, errors.Is(b.err, io.EOF) && !b.dropped
}

func hashPrefix(content []byte) uint64 {
	return xxhash.Sum64(content[:min(len(content), replayLimit)])
}

// prefixHash returns the hash of the first replayLimit bytes of the body, and reports
// whether they are known. A request without a body has the hash of an empty one.
func (b *Body) prefixHash() (uint64, bool) {
	if b == nil {
		return hashPrefix(nil), true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.dropped:
		return b.prefix, true
	case len(b.buffered) >= replayLimit, errors.Is(b.err, io.EOF):
		return hashPrefix(b.buffered), true
	}
	return 0, false
}

// readPrefix reads the body until its prefixHash is known, reading fails or ctx ends. It
// invalidates the reader of the previous attempt, and drops nothing.
func (b *Body) readPrefix(ctx context.Context) {
	if _, known := b.prefixHash(); known {
		return
	}
	reader, done := b.Reader(), make(chan struct{})
	go func() {
		defer close(done)
		// The limit keeps the reader from dropping the start; the error stays in the body.
		_, _ = io.Copy(io.Discard, io.LimitReader(reader, replayLimit))
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// ended reports whether the source has been read to its end.
func (b *Body) ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err != nil
}

// Reader returns a reader that starts at the beginning of the body, and
// invalidates the previous reader.
func (b *Body) Reader() io.Reader {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reader = &bodyReader{body: b}
	return b.reader
}

type bodyReader struct {
	body   *Body
	offset int64
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.reading.Lock()
	defer b.reading.Unlock()
	if n, done, err := r.readBuffered(p); done {
		return n, err
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	b.position += int64(n)
	r.offset += int64(n)
	// The next attempt needs what an abandoned one was still waiting for.
	if !b.dropped {
		b.buffered = append(b.buffered, p[:n]...)
		if len(b.buffered) > replayLimit && b.reader == r && n > 0 {
			b.prefix = hashPrefix(b.buffered)
			b.dropped, b.buffered = true, nil
		}
	}
	if b.reader != r {
		return 0, errBodySuperseded
	}
	if n > 0 {
		return n, nil
	}
	return n, err
}

// readBuffered reads from the buffered part of the body. It returns done =
// false if the source has to be read.
func (r *bodyReader) readBuffered(p []byte) (n int, done bool, err error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reader != r {
		return 0, true, errBodySuperseded
	}
	if r.offset < int64(len(b.buffered)) {
		n := copy(p, b.buffered[r.offset:])
		r.offset += int64(n)
		return n, true, nil
	}
	if r.offset != b.position {
		return 0, true, errBodyDropped
	}
	return 0, b.err != nil, b.err
}
