package move

import (
	"testing"
	"time"
)

// BenchmarkRecord measures the cost of recording one attempt.
func BenchmarkRecord(b *testing.B) {
	r := NewRecorder("orders", "a", "caller", 1)
	r.Update(testBundle(), always)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			r.Record("look-up", "v1", OutcomeOK, 5*time.Millisecond)
		}
	})
}

// BenchmarkChoose measures the cost of selecting a version for one attempt and
// reporting its outcome.
func BenchmarkChoose(b *testing.B) {
	c := newTestChooser(testGrant(1, 1, 0.5))
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			c.Choose("orders", true, 0.7, testStart)
			c.Report("orders", "v1", OutcomeOK, testStart)
		}
	})
}
