// Package compress compresses large messages that daemons rarely exchange, such as
// configurations, with gzip.
package compress

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// SizeError reports decompressed content that exceeds the limit.
type SizeError struct{ Limit int64 }

func (e *SizeError) Error() string {
	return fmt.Sprintf("compress: content is larger than %d bytes", e.Limit)
}

// Pack compresses content.
func Pack(content []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(content) // writes to a bytes.Buffer do not fail
	_ = w.Close()
	return b.Bytes()
}

// Unpack decompresses packed content. It returns a SizeError if the content is
// larger than limit bytes.
func Unpack(packed []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	content, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if int64(len(content)) > limit {
		return nil, &SizeError{Limit: limit}
	}
	return content, nil
}
