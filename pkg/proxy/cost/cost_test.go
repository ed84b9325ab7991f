package cost

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
)

var start = time.Unix(1_700_000_000, 0)

func near(t *testing.T, got time.Duration, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got.Seconds()-want) <= tolerance*want, "%v instead of %.3f s", got, want)
}

// TestRest guards against a long run that is expected to end as soon as a short one, and
// against an estimate of 0 for a run longer than all before.
func TestRest(t *testing.T) {
	e, class := NewEstimator(), Class{Route: "r", Method: "GET"}
	random := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		ran := 0.1 * (0.8 + 0.4*random.Float64())
		if random.Float64() < 0.03 {
			ran *= 7
		}
		e.Observe(class, seconds(ran), start)
	}
	for elapsed, want := range map[float64]float64{0: 0.118, 0.05: 0.068, 0.13: 0.57, 0.3: 0.4} {
		rest, ok := e.Rest(class, seconds(elapsed), start)
		assert.Assert(t, ok)
		near(t, rest, want, 0.06)
		rests, _ := e.RestQuantiles(class, seconds(elapsed), start)
		median := (rests[Quantiles/2-1] + rests[Quantiles/2]) / 2
		near(t, median, map[float64]float64{0: 0.1, 0.05: 0.05, 0.13: 0.57, 0.3: 0.4}[elapsed], 0.06)
	}
	for _, elapsed := range []time.Duration{2 * time.Second, time.Hour} {
		rest, _ := e.Rest(class, elapsed, start)
		near(t, rest, elapsed.Seconds(), 0.01)
	}
}

// TestAging guards against runs of some minutes ago that decide the estimate.
func TestAging(t *testing.T) {
	e, class := NewEstimator(), Class{Route: "r", Method: "GET"}
	now := start
	for range 36_000 { // an hour, so that the weights are scaled down several times
		e.Observe(class, 500*time.Millisecond, now)
		now = now.Add(100 * time.Millisecond)
	}
	rest, _ := e.Rest(class, 0, now)
	near(t, rest, 0.5, 0.01)
	for range 3000 {
		e.Observe(class, 50*time.Millisecond, now)
		now = now.Add(100 * time.Millisecond)
	}
	rest, _ = e.Rest(class, 0, now)
	near(t, rest, 0.05+0.45/32, 0.05)
	_, ok := e.Rest(class, 0, now.Add(20*halfLife))
	assert.Assert(t, !ok, "runs of 20 minutes ago")
}

// TestFallback guards against a class whose few runs decide, against a route that is
// unknown although its classes were observed, and against unbounded memory.
func TestFallback(t *testing.T) {
	e := NewEstimator()
	get, post := Class{Route: "r", Method: "GET"}, Class{Route: "r", Method: "POST"}
	_, ok := e.Rest(get, 0, start)
	assert.Assert(t, !ok)
	for range 1000 {
		e.Observe(get, 100*time.Millisecond, start)
	}
	e.Observe(post, time.Second, start)
	rest, _ := e.Rest(post, 0, start)
	near(t, rest, 0.101, 0.01)
	for range minRuns {
		e.Observe(post, time.Second, start)
	}
	rest, _ = e.Rest(post, 0, start)
	near(t, rest, 1, 0.01)
	for i := range 3 * maxClasses {
		e.Observe(Class{Route: "r", Method: "GET", Caller: strconv.Itoa(i)}, time.Second, start)
	}
	assert.Equal(t, len(e.entries), maxClasses)
	assert.Equal(t, e.recent.Len(), maxClasses)
	_, ok = e.Rest(get, 0, start)
	assert.Assert(t, ok, "its route was observed last")
}

// TestRestIsFinite guards against estimates that are negative, infinite or not a number.
func TestRestIsFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d distribution
		now := start
		for _, ran := range rapid.SliceOfN(rapid.Int64Range(1, int64(time.Hour)), 1, 50).Draw(t, "runs") {
			d.observe(time.Duration(ran), now)
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Minute)).Draw(t, "pause")))
		}
		elapsed := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "elapsed"))
		rest := d.rest(elapsed, now)
		for _, rest := range d.restQuantiles(elapsed, now) {
			if rest < 0 || rest > 2*time.Hour {
				t.Fatalf("%v after %v", rest, elapsed)
			}
		}
		if rest <= 0 || rest > 2*time.Hour {
			t.Fatalf("%v after %v", rest, elapsed)
		}
	})
}

// TestClassOf guards against requests of different sizes in one class.
func TestClassOf(t *testing.T) {
	for bytes, size := range map[int64]uint8{0: 0, 1: 1, 1023: 10, 1024: 11, -1: unknownSize} {
		assert.Equal(t, ClassOf(&attempt.Request{BodyBytes: bytes}).Size, size)
	}
}

func BenchmarkEstimator(b *testing.B) {
	e, class := NewEstimator(), Class{Route: "r", Method: "GET", Caller: "c"}
	for i := range 10_000 {
		e.Observe(class, time.Duration(i)*50*time.Microsecond, start)
	}
	b.Run("observe", func(b *testing.B) {
		for b.Loop() {
			e.Observe(class, 40*time.Millisecond, start)
		}
	})
	b.Run("rest", func(b *testing.B) {
		for b.Loop() {
			e.Rest(class, 40*time.Millisecond, start)
		}
	})
	b.Run("quantiles", func(b *testing.B) {
		for b.Loop() {
			e.RestQuantiles(class, 40*time.Millisecond, start)
		}
	})
}
