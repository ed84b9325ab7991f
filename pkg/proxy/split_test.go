package proxy_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy"
)

// TestSplitWithoutTargets guards against a share of a split that goes to another
// service when its own one has no targets or does not exist: its requests are refused.
func TestSplitWithoutTargets(t *testing.T) {
	m := newMesh(t, 2)
	draw, served := newSplitDraws(), 0
	for i := range 200 {
		status, position := http.StatusServiceUnavailable, draw()
		if position < 0.75 {
			status = http.StatusOK
			served++
		}
		assert.Equal(t, m.get("/split/1").status, status, "request %d, at %.3f of a split whose first 0.75 go to a service with targets", i, position)
	}
	assert.Equal(t, m.requestCount(), served)
}

// TestSplitDraws guards against draws of a split whose shares differ from its weights.
func TestSplitDraws(t *testing.T) {
	draw := proxy.NewIngress(proxy.IngressOptions{}).Random
	const draws = 100_000
	below := 0
	for range draws {
		position := draw()
		assert.Assert(t, position >= 0 && position < 1, "%f", position)
		if position < 0.75 {
			below++
		}
	}
	share := float64(below) / draws
	assert.Assert(t, share > 0.74 && share < 0.76, "%.4f of the draws are below 0.75", share)
}
