package proxy

import (
	"bytes"
	"io"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestSecondReaderHasNoGap guards against a request that runs without the start of its
// body: after more of it was read than is buffered, another reader must fail, not go on
// in the middle or return an empty body.
func TestSecondReaderHasNoGap(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789abcdef"), replayLimit/8)
	for _, read := range []int{0, 1, replayLimit - 1, replayLimit, replayLimit + 1, len(content)} {
		for _, length := range []int64{-1, int64(len(content))} {
			body := NewBody(bytes.NewReader(content), length)
			first := body.Reader()
			_, err := io.CopyN(io.Discard, first, int64(read))
			assert.NilError(t, err)
			replayable := body.Rewind()
			assert.Equal(t, replayable, read <= replayLimit, "read %d", read)
			got, err := io.ReadAll(body.Reader())
			if replayable {
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(got, content), "read %d: got %d of %d bytes", read, len(got), len(content))
			} else {
				assert.ErrorIs(t, err, errBodyDropped, "read %d", read)
			}
			if replayable {
				_, err = first.Read(make([]byte, 1))
				assert.ErrorIs(t, err, errBodySuperseded)
			}
		}
	}
}

// TestBlockedReaderKeepsTheStart guards against a request that fails after an early
// rejection: the reader of the rejected attempt, which still waits for the caller, must
// not drop the start that the next attempt sends.
func TestBlockedReaderKeepsTheStart(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789abcdef"), replayLimit/8)
	source, caller := io.Pipe()
	body := NewBody(source, -1)
	first := body.Reader()
	go func() { _, _ = caller.Write(content[:replayLimit-1]) }()
	_, err := io.CopyN(io.Discard, first, replayLimit-1)
	assert.NilError(t, err)
	blocked := make(chan error)
	go func() {
		_, err := first.Read(make([]byte, bodyCopyBuffer))
		blocked <- err
	}()
	// The first reader holds the source now.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if body.reading.TryLock() {
			body.reading.Unlock()
			return poll.Continue("the first reader does not read")
		}
		return poll.Success()
	})
	assert.Assert(t, body.Rewind())
	go func() {
		_, _ = caller.Write(content[replayLimit-1:])
		_ = caller.Close()
	}()
	got, err := io.ReadAll(body.Reader())
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, content), "got %d of %d bytes", len(got), len(content))
	assert.ErrorIs(t, <-blocked, errBodySuperseded)
}
