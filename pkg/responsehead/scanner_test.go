package responsehead_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/responsehead"
)

// TestScan guards against a verdict that depends on how the bytes of a head are split into
// reads, and against one that bytes of the body change.
func TestScan(t *testing.T) {
	const body = "\r\nx y: z\n 000"
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n":                          true,
		"HTTP/1.1 200 OK\nA: b\n\n":                                true,
		"HTTP/1.0 200\r\n\r\n":                                     true,
		"\r\nHTTP/1.1  999 \xff\r\n\r\n":                           true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":     true,
		"HTTP/1.1 200 OK\r\nA:\r\nb!~9: \t\xff\r\n\r\n":            true,
		"HTTP/1.1 200 OK\r\nA: b\x00c\r\n\r\n":                     false,
		"HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n":                       false,
		"HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n":                        false,
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n":                        false,
		"HTTP/1.1 200 OK\r\nA : c\r\n\r\n":                         false,
		"HTTP/1.1 200 OK\r\nA\x00b: c\r\n\r\n":                     false,
		"HTTP/1.1 200 OK\r\nA\xe9: c\r\n\r\n":                      false,
		"HTTP/1.1 200 OK\r\nA\r\n\r\n":                             false,
		"HTTP/1.1 200 OK\r\n: c\r\n\r\n":                           false,
		"HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\r\n":                 false,
		"HTTP/1.1 000 Down\r\n\r\n":                                false,
		"HTTP/1.1 099 Down\r\n\r\n":                                false,
		"HTTP/1.1 +20 Down\r\n\r\n":                                false,
		"HTTP/1.1 20 Down\r\n\r\n":                                 false,
		"HTTP/1.1 2000 Down\r\n\r\n":                               false,
		"HTTP/1.1\r\n\r\n":                                         false,
		"HTTP/11 200 OK\r\n\r\n":                                   false,
		"SSH-2.0 200 OK\r\n\r\n":                                   false,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Down\r\n\r\n":   false,
		"HTTP/1.1 200 OK\r\nA: b\r\n\rHTTP/1.1 200 OK\r\n\r\n":     false,
		"HTTP/1.1 100 Continue\r\n\r\n\x00HTTP/1.1 200 OK\r\n\r\n": false,
	} {
		all := []byte(head + body)
		for first := range len(head) {
			var s responsehead.Scanner
			_ = s.Scan(all[:first]) // the error, if any, is returned again
			assert.Assert(t, !s.Ended() || !valid, "%q ended after %d bytes", head, first)
			err := s.Scan(all[first:])
			var syntax *responsehead.SyntaxError
			assert.Equal(t, err == nil, valid, "%q split at %d: %v", head, first, err)
			assert.Equal(t, errors.As(err, &syntax), !valid, "%q split at %d: %v", head, first, err)
			assert.Equal(t, s.Ended(), valid, "%q split at %d", head, first)
		}
	}
}
