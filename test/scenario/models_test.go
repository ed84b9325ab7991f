package scenario

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// TestKeyModel guards against an order check that accepts a second run, a false
// "not run" or the answer of a different run.
func TestKeyModel(t *testing.T) {
	answered := func(run string) observed { return observed{kind: outcomeAnswered, run: run} }
	unknown, notRun := observed{kind: outcomeUnknown}, observed{kind: outcomeNotRun}
	for _, c := range []struct {
		attempts []observed
		runs     []string
		ok       bool
	}{
		{[]observed{answered("a"), answered("a")}, []string{"a"}, true},
		{[]observed{unknown, notRun, answered("a")}, []string{"a"}, true},
		{[]observed{unknown}, nil, true},
		{[]observed{unknown, notRun}, []string{"a"}, true},
		{[]observed{notRun, notRun}, nil, true},
		{[]observed{notRun, notRun}, []string{"a"}, false},
		{[]observed{answered("a")}, nil, false},
		{[]observed{answered("a")}, []string{"b"}, false},
		{[]observed{answered("a"), answered("b")}, []string{"b"}, false},
		{[]observed{unknown, answered("a")}, []string{"a", "b"}, false},
	} {
		o := &order{id: "o", key: "k"}
		for i, attempt := range c.attempts {
			o.record(attempt, time.Duration(2*i), time.Duration(2*i+1))
		}
		err := o.check(c.runs)
		assert.Equal(t, err == nil, c.ok, "%v, runs %v: %v", c.attempts, c.runs, err)
	}
}

// TestVersionModel guards against a version check that accepts a daemon going
// back to an older version, or that rejects concurrent reads.
func TestVersionModel(t *testing.T) {
	read := func(version uint64, call, end int64) porcupine.Operation {
		return porcupine.Operation{Output: version, Call: call, Return: end}
	}
	assert.Assert(t, porcupine.CheckOperations(monotonic, []porcupine.Operation{read(1, 0, 1), read(3, 2, 5), read(2, 3, 4), read(3, 6, 7)}))
	assert.Assert(t, !porcupine.CheckOperations(monotonic, []porcupine.Operation{read(1, 0, 1), read(2, 2, 3), read(1, 4, 5)}))
}

// TestConfigurationModel guards against a race check that accepts a lost update,
// a partial change or a conflict without a later version.
func TestConfigurationModel(t *testing.T) {
	type step struct {
		in  change
		out changeResult
	}
	read := func(version uint64, slots ...int) step {
		return step{change{}, changeResult{version: version, slots: [2]int(slots)}}
	}
	for _, c := range []struct {
		steps []step
		ok    bool
	}{
		{[]step{{change{5, 1}, changeResult{version: 2}}, {change{6, 1}, changeResult{refused: true}}, read(2, 5, 5)}, true},
		{[]step{{change{5, 1}, changeResult{unknown: true}}, read(2, 5, 5)}, true},
		{[]step{{change{5, 1}, changeResult{unknown: true}}, read(1, 1, 1)}, true},
		{[]step{{change{5, 1}, changeResult{version: 2}}, {change{6, 1}, changeResult{version: 3}}}, false},
		{[]step{{change{5, 1}, changeResult{version: 2}}, read(2, 5, 1)}, false},
		{[]step{{change{5, 1}, changeResult{version: 2}}, read(1, 1, 1)}, false},
		{[]step{{change{5, 1}, changeResult{refused: true}}}, false},
		{[]step{{change{5, 1}, changeResult{failed: true}}, read(2, 5, 5)}, false},
	} {
		r := &race{start: time.Now()}
		for i, s := range c.steps {
			r.record(i, s.in, time.Since(r.start), s.out)
		}
		got := porcupine.CheckOperations(configurationModel(configState{version: 1, slots: 1}), r.history)
		assert.Equal(t, got, c.ok, "%+v", c.steps)
	}
}
