package proxy

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

// observed is a step in the history of a request at one daemon.
type observed struct {
	daemon string
	kind   string // crash (it was no suspect), beside, alone, clean
}

// history is what the daemons have published of one request.
type history struct {
	clock   clock.Manual
	own     map[string]Evidence
	reports []EvidenceReport
}

func (h *history) publish(o observed) EvidenceReport {
	if h.own == nil {
		h.own = make(map[string]Evidence)
	}
	e := h.own[o.daemon]
	if o.kind == "clean" {
		e.Clean++
	} else {
		e.addCrash(o.kind != "crash", o.kind == "alone")
	}
	h.own[o.daemon] = e
	report := EvidenceReport{Daemon: o.daemon, Fingerprint: 1, Evidence: EvidenceOfRank(e.Rank())}
	h.reports = append(h.reports, report)
	return report
}

func (h *history) newSuspects() *Suspects {
	return &Suspects{Clock: &h.clock, Logger: zap.NewNop(), Publish: func(uint64, Evidence) {}}
}

func (s *Suspects) verdict() Verdict { return s.getOrCreate(1).verdict(s.Clock.Now()) }

// TestVerdict guards against a popular request that is refused since it ran on several
// targets when they crashed, and against one that crashes targets and is not refused.
func TestVerdict(t *testing.T) {
	crash, clean := func(d string) observed { return observed{d, "crash"} }, func(d string) observed { return observed{d, "clean"} }
	alone, beside := func(d string) observed { return observed{d, "alone"} }, func(d string) observed { return observed{d, "beside"} }
	for name, c := range map[string]struct {
		steps []observed
		want  Verdict
	}{
		"one crash":                      {[]observed{crash("a")}, Run},
		"two targets at once":            {[]observed{crash("a"), crash("b")}, RunAlone},
		"all targets at once":            {[]observed{crash("a"), crash("b"), crash("c"), crash("d"), crash("e")}, RunAlone},
		"one target twice":               {[]observed{crash("a"), crash("a")}, RunAlone},
		"ran elsewhere":                  {[]observed{crash("a"), crash("b"), clean("c")}, Run},
		"crashed alone":                  {[]observed{crash("a"), crash("b"), alone("c")}, Refuse},
		"crashed beside others":          {[]observed{crash("a"), crash("b"), beside("c")}, RunAlone},
		"crashed twice beside others":    {[]observed{crash("a"), crash("b"), beside("c"), beside("d")}, Refuse},
		"a coincidence alone":            {[]observed{crash("a"), crash("b"), clean("d"), alone("c"), clean("e")}, Run},
		"a coincidence, no run since":    {[]observed{crash("a"), crash("b"), clean("d"), alone("c")}, Run},
		"a run that began before":        {[]observed{crash("a"), crash("b"), alone("c"), clean("d")}, Run},
		"crashes again after a good run": {[]observed{crash("a"), crash("b"), clean("c"), crash("a"), crash("b"), alone("c")}, Refuse},
	} {
		var h history
		s := h.newSuspects()
		for _, step := range c.steps {
			s.Apply([]EvidenceReport{h.publish(step)})
			s.Apply(h.reports) // the facts again
		}
		assert.Equal(t, s.verdict(), c.want, "%s", name)
	}
}

// TestVerdictOverTime guards against a request that is refused for ever, and against one
// that is run by everybody again although it crashed its target when it ran alone.
func TestVerdictOverTime(t *testing.T) {
	var h history
	s := h.newSuspects()
	apply := func(daemon, kind string) { s.Apply([]EvidenceReport{h.publish(observed{daemon, kind})}) }
	apply("a", "crash")
	h.clock.Advance(suspectRetention)
	apply("b", "crash")
	assert.Equal(t, s.verdict(), Run, "the other crash is long ago")
	apply("a", "crash")
	assert.Equal(t, s.verdict(), RunAlone)
	h.clock.Advance(suspectRetention)
	assert.Equal(t, s.verdict(), Run, "a coincidence long ago")
	apply("a", "crash")
	apply("b", "crash")
	apply("a", "alone")
	h.clock.Advance(suspectRetention - time.Second)
	assert.Equal(t, s.verdict(), Refuse)
	h.clock.Advance(time.Second)
	assert.Equal(t, s.verdict(), RunAlone, "one trial")
	apply("c", "alone")
	assert.Equal(t, s.verdict(), Refuse)
	h.clock.Advance(suspectRetention)
	apply("c", "clean")
	assert.Equal(t, s.verdict(), Run)
	s.Apply(h.reports)
	assert.Equal(t, s.verdict(), Run)
}

// TestStartedDaemonAgrees guards against a daemon that refuses requests which the others
// run, since it has got the same facts later and in another order.
func TestStartedDaemonAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		running := h.newSuspects()
		kinds := rapid.SliceOfN(rapid.SampledFrom([]string{"crash", "beside", "alone", "clean"}), 1, 12).Draw(t, "kinds")
		for _, kind := range kinds {
			daemon := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "daemon")
			running.Apply([]EvidenceReport{h.publish(observed{daemon, kind})})
		}
		started := h.newSuspects()
		started.Apply(rapid.Permutation(h.reports).Draw(t, "facts"))
		if slices.Contains(kinds, "clean") {
			assert.Equal(t, started.verdict(), Run, "a request that has run does not crash each target")
		} else {
			assert.Equal(t, started.verdict(), running.verdict())
		}
	})
}

// TestCrashingRequestIsRefused guards against a request that crashes each target and
// reaches targets too often, whatever the order in which the daemons learn of it.
func TestCrashingRequestIsRefused(t *testing.T) {
	const sendings, maxCrashes = 30, 4
	rapid.Check(t, func(t *rapid.T) {
		var h history
		daemons := []*Suspects{h.newSuspects(), h.newSuspects(), h.newSuspects(), h.newSuspects(), h.newSuspects()}
		crashes := 0
		for range sendings {
			// Facts arrive between two sendings, not between an attempt and its retry.
			for range 2 {
				i := rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")
				kind := map[Verdict]string{Run: "crash", RunAlone: rapid.SampledFrom([]string{"alone", "beside"}).Draw(t, "run")}[daemons[i].verdict()]
				if kind == "" {
					break
				}
				crashes++
				h.publish(observed{string(rune('a' + i)), kind})
			}
			for _, s := range daemons {
				s.Apply(h.reports)
			}
		}
		assert.Assert(t, crashes <= maxCrashes, "%d crashes", crashes)
	})
}

// TestEvidenceRank guards against evidence that a daemon does not take over, since its
// rank is not higher than that of earlier evidence.
func TestEvidenceRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, maxCount-1)
		e := Evidence{count.Draw(t, "crashes"), count.Draw(t, "proof"), count.Draw(t, "clean")}
		assert.Equal(t, EvidenceOfRank(e.Rank()), e)
		for _, later := range []Evidence{{e.Crashes + 1, e.Proof, e.Clean}, {e.Crashes + 1, e.Proof + 1, e.Clean}, {e.Crashes, e.Proof, e.Clean + 1}} {
			assert.Assert(t, later.Rank() > e.Rank())
		}
	})
}
