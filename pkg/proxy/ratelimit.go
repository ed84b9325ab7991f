package proxy

import (
	"math"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/proxy/admission"
)

// namedLimit returns the rate limit in requests per second that a target names in a
// response, 0 if it names none. It reports false if the response does not tell: its
// value is invalid, or it has none and is not the response to a request that ran.
func (g *Gate) namedLimit(r *http.Response) (float64, bool) {
	value := r.Header.Get(g.Names.RateLimit)
	if value == "" {
		return 0, r.Header.Get(g.Names.Signature) != ""
	}
	limit, err := strconv.ParseFloat(value, 64)
	return max(limit, admission.MinRate), err == nil && limit >= 0 && !math.IsInf(limit, 0)
}

// recordLimit applies the rate limit that a response of the target names.
func (g *Gate) recordLimit(target *LocalTarget, slots *admission.Queue, r *http.Response) {
	limit, ok := g.namedLimit(r)
	if !ok {
		return
	}
	if before := slots.SetRate(limit); before != limit {
		eventRateLimit.Log(g.Logger, zap.String("target", target.ID), zap.Float64("limit", limit), zap.Float64("before", before))
	}
}
