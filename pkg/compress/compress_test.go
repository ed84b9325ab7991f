package compress

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPackUnpack guards against content that a peer cannot read back.
func TestPackUnpack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOf(rapid.Byte()).Draw(t, "content")
		got, err := Unpack(Pack(content), int64(len(content)))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, content))
	})
}

// TestUnpackBounds guards against a peer whose small message expands beyond
// the memory of a daemon, and against content that was cut on its way.
func TestUnpackBounds(t *testing.T) {
	packed := Pack(make([]byte, 1<<20))
	_, err := Unpack(packed, 1<<20-1)
	assert.ErrorType(t, err, &SizeError{})
	_, err = Unpack(packed[:len(packed)-5], 1<<20)
	assert.ErrorContains(t, err, "EOF")
}
