// Package compress packs what daemons send one another rarely and in bulk, such
// as configurations.
package compress

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// SizeError reports content that is larger than its reader allows.
type SizeError struct{ Limit int64 }

func (e *SizeError) Error() string {
	return fmt.Sprintf("compress: content is larger than %d bytes", e.Limit)
}

// Pack compresses content.
func Pack(content []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(content) // a buffer takes everything
	_ = w.Close()
	return b.Bytes()
}

// Unpack returns packed content of up to limit bytes.
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
