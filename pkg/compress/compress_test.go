package compress

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestPackUnpack guards against content that changes when it is compressed and
// decompressed.
func TestPackUnpack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOf(rapid.Byte()).Draw(t, "content")
		got, err := Unpack(Pack(content), int64(len(content)))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, content))
	})
}

// TestUnpackBounds guards against a small message that decompresses to more than
// the memory of a daemon, and against accepting truncated content.
func TestUnpackBounds(t *testing.T) {
	packed := Pack(make([]byte, 1<<20))
	_, err := Unpack(packed, 1<<20-1)
	assert.ErrorType(t, err, &SizeError{})
	_, err = Unpack(packed[:len(packed)-5], 1<<20)
	assert.ErrorContains(t, err, "EOF")
}
