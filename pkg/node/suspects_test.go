package node

import (
	"net/http"
	"strconv"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/proxy"
)

// TestEvidenceInFacts guards against crashes that a daemon does not learn from the others,
// or forgets about at its restart.
func TestEvidenceInFacts(t *testing.T) {
	call := &proxy.Call{Method: http.MethodGet, URI: "/page"}
	fingerprint, _ := proxy.Fingerprint(call)
	fact := func(daemon string, evidence proxy.Evidence) fleet.Fact {
		return fleet.Fact{Key: crashPrefix + strconv.FormatUint(fingerprint, 16) + "/" + daemon, Rank: evidence.Rank()}
	}
	n := &Node{settings: &Settings{Name: "vm-1"}, suspects: &proxy.Suspects{Clock: &clock.Manual{}, Logger: zap.NewNop()}}
	facts := []fleet.Fact{{Key: "suspect/1/vm-2", Rank: 9}, {Key: crashPrefix + "x/vm-2", Rank: 9}, fact("vm-2", proxy.Evidence{Crashes: 1})}
	n.applySuspects(facts)
	assert.Equal(t, n.suspects.Check(call), proxy.Run)
	facts = append(facts, fact("vm-1", proxy.Evidence{Crashes: 1}))
	n.applySuspects(facts)
	assert.Equal(t, n.suspects.Check(call), proxy.RunAlone)
	facts[2] = fact("vm-2", proxy.Evidence{Crashes: 2, Proof: 2})
	n.applySuspects(facts)
	assert.Equal(t, n.suspects.Check(call), proxy.Refuse)
	facts[3] = fact("vm-1", proxy.Evidence{Crashes: 1, Clean: 1})
	n.applySuspects(facts)
	assert.Equal(t, n.suspects.Check(call), proxy.Run)
}
