package proxy_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
)

const (
	// crashReportTime is enough for a gate to confirm a crash and record its requests.
	crashReportTime = 150 * time.Millisecond
	// maxPoisonCrashes is three crashes and the retry that is under way at the third.
	maxPoisonCrashes = 4
)

// poisonBody is the body of a request that crashes targets.
func poisonBody(size int) []byte { return bytes.Repeat([]byte("\x00poison!"), size/8) }

// crashAt makes the targets crash at a path if the body is poisonBody, or before they have
// read any body.
func (m *mesh) crashAt(path string, early bool) {
	for _, s := range m.targetSides {
		if early {
			s.target.RespondEarly()
		}
		s.target.Handle(func(r *proxytest.Request) bool {
			if r.URL.Path == path && (early || bytes.Contains(r.Content, []byte("poison"))) {
				s.target.Crash()
				return false
			}
			return proxytest.OK("ok")(r)
		})
	}
}

// TestPoisonInAnyFraming guards against a request that crashes target after target,
// because the fingerprint of its body differs before and after the body was read.
func TestPoisonInAnyFraming(t *testing.T) {
	for name, c := range map[string]struct {
		size    int
		chunked bool
		early   bool
	}{
		"short with a length": {40, false, false},
		"short in chunks":     {40, true, false},
		"long with a length":  {200_000, false, false},
		"long in chunks":      {200_000, true, false},
		"at the head":         {40, true, true},
		"long, at the head":   {200_000, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMesh(t, 8)
			m.crashAt("/look/poison", c.early)
			send := func(body []byte) result {
				length := int64(len(body))
				if c.chunked {
					length = -1
				}
				return m.request(t.Context(), "/look/poison", bytes.NewReader(body), length)
			}
			for range 6 {
				send(poisonBody(c.size))
				time.Sleep(crashReportTime)
			}
			last := send(poisonBody(c.size))
			assert.NilError(t, last.err)
			assert.Equal(t, last.status, http.StatusServiceUnavailable)
			crashed := 0
			for _, s := range m.targetSides {
				crashed += len(s.target.Requests())
			}
			assert.Assert(t, crashed <= maxPoisonCrashes, "%d crashes", crashed)
			if c.early {
				return
			}
			other := send(bytes.Repeat([]byte("harmless"), c.size/8))
			assert.NilError(t, other.err)
			assert.Equal(t, other.status, http.StatusOK, "another body at the same path")
		})
	}
}
