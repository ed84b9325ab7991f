package store

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRevisionsOfEras guards against a revision of an earlier era that counts as the later
// one because its number is larger.
func TestRevisionsOfEras(t *testing.T) {
	for _, c := range []struct {
		era      uint64
		assigned int64
	}{{0, 0}, {0, 7}, {1, 7}, {3, revisionMask}, {MaxEra, revisionMask}} {
		era, assigned := SplitRevision(RevisionAt(c.era, c.assigned))
		assert.Equal(t, era, c.era)
		assert.Equal(t, assigned, c.assigned)
		assert.Equal(t, uint64(RevisionAt(c.era, c.assigned))<<8>>8, uint64(RevisionAt(c.era, c.assigned)), "a rank has 8 more bits")
	}
	assert.Assert(t, RevisionAt(1, revisionMask) < RevisionAt(2, 1))
	assert.Equal(t, RevisionAt(0, -5), int64(0))
	assert.Equal(t, RevisionAt(1, 1<<60), RevisionAt(1, revisionMask))
}

// TestErasOnlyAdvance guards against a response of an earlier era, or an invalid one, that
// replaces the known era.
func TestErasOnlyAdvance(t *testing.T) {
	var eras Eras
	changed := eras.Changed()
	eras.Advance(3)
	select {
	case <-changed:
	default:
		t.Fatal("the change was not reported")
	}
	changed = eras.Changed()
	eras.Advance(2)
	eras.Advance(3)
	eras.Advance(MaxEra + 1)
	assert.Equal(t, eras.Current(), uint64(3))
	select {
	case <-changed:
		t.Fatal("a change was reported")
	default:
	}
}
