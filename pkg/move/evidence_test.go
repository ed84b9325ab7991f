package move

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

func testBundle() *config.Bundle {
	return &config.Bundle{
		Service: config.Service{
			Name: "orders", Version: "v1", Slots: 10,
			Routes: []config.Route{{Name: "look-up", Idempotent: true}, {Name: "order"}},
			Moves:  []config.Move{{Name: "m", From: "v1", To: "v2", By: testStart.Add(time.Hour)}},
		},
		Generations: map[string]uint64{"m": 3},
	}
}

func always(string, uint64) bool { return true }

// TestSumsSurviveLossRepetitionAndOrder guards against evidence that is counted
// twice, or that mixes counts of different times, when reports are lost, repeated
// or reordered and a caller restarts.
func TestSumsSurviveLossRepetitionAndOrder(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		sum := NewDomainSum("a", "d0", 1)
		recorded := map[string]uint64{}
		var sent []*pb.Record
		for incarnation := range uint64(3) {
			r := NewRecorder("orders", "a", "caller", incarnation+1)
			r.Update(testBundle(), always)
			for range 20 {
				r.Record("look-up", "v1", OutcomeOK, time.Millisecond)
				r.Record("look-up", "v2", OutcomeFailed, 0)
				r.Record("look-up", "v2", OutcomeExcluded, 0)
				r.Record("look-up", "v9", OutcomeOK, 0)
				recorded["v1"]++
				recorded["v2"]++
				records := r.Records()
				sent = append(sent, records...)
				rng.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
				sum.Apply(sent[:rng.IntN(len(sent)+1)]...)
			}
			sum.Apply(sent...)
			sum.Apply(sent...)
			sent = nil // records of an earlier incarnation would be stale
		}
		var reader sumReader
		sums := reader.Sums(sum.Records(), testPlan().Identity)
		assert.Equal(t, len(sums), 1)
		assert.Equal(t, sums[0].Old.Attempts, recorded["v1"])
		assert.Equal(t, sums[0].New.Failures, recorded["v2"])
	}
}

// TestLargerSumOfTwoDistributors guards against evidence that is counted at both
// distributors of a domain, and against a sum that combines different reports for
// the two versions.
func TestLargerSumOfTwoDistributors(t *testing.T) {
	r := NewRecorder("orders", "a", "caller", 1)
	r.Update(testBundle(), always)
	first, second := NewDomainSum("a", "d0", 1), NewDomainSum("a", "d1", 1)
	r.Record("look-up", "v1", OutcomeOK, time.Millisecond)
	records := r.Records()
	first.Apply(records...)
	second.Apply(records...)
	r.Record("look-up", "v1", OutcomeOK, time.Millisecond)
	r.Record("look-up", "v2", OutcomeCrashed, 0)
	records = r.Records()
	second.Apply(records...)
	first.Apply(records[0]) // the record of the new version is lost
	var reader sumReader
	sums := reader.Sums(append(first.Records(), second.Records()...), testPlan().Identity)
	assert.Equal(t, len(sums), 1)
	assert.Equal(t, sums[0].Old.Attempts, uint64(2))
	assert.Equal(t, sums[0].New.Crashes, uint64(1))
	reader = sumReader{}
	sums = reader.Sums(first.Records(), testPlan().Identity)
	assert.Equal(t, len(sums), 0) // no new report is complete
}

// TestWarmup guards against slow calls during a cold start that count as a fault.
func TestWarmup(t *testing.T) {
	var w Warmup
	w.Add("a", 1, testStart)
	w.Add("a", 1, testStart.Add(time.Minute)) // repeated
	assert.Assert(t, !w.Warm("a", 5*time.Second, testStart.Add(4*time.Second)))
	assert.Assert(t, w.Warm("a", 5*time.Second, testStart.Add(5*time.Second)))
	w.Add("a", 2, testStart.Add(time.Minute)) // restarted
	assert.Assert(t, !w.Warm("a", 5*time.Second, testStart.Add(time.Minute)))
	assert.Assert(t, !w.Warm("b", 0, testStart))
}
