package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/evacuation"
	"nutmegstand.example/nutmegstand/pkg/fleet"
)

// evacuationWatcher watches the operator's evacuations and writes them to the facts.
func (n *Node) evacuationWatcher() *watcher {
	var entries evacuation.Watch
	return &watcher{
		node: n, entries: "evacuations", timeout: n.configWatchTimeout,
		read: func(ctx context.Context) (int64, error) {
			domains, revision, err := n.platform.Operator.Evacuations(ctx)
			if err == nil {
				entries.List(domains, revision)
				n.correctEvacuations(&entries)
			}
			return revision, err
		},
		watch: func(ctx context.Context, from int64) (int64, error) {
			events, revision, err := n.platform.Operator.WatchEvacuations(ctx, from)
			if err == nil {
				entries.Events(events, revision)
				n.correctEvacuations(&entries)
			}
			return revision, err
		},
	}
}

func (n *Node) correctEvacuations(entries *evacuation.Watch) {
	for _, fact := range entries.Correct(n.table.Facts(), time.Now()) {
		n.fleet.SetFact(fact.Key, fact.Rank, fact.Payload)
	}
	n.applyEvacuations(n.table.Facts())
}

// applyEvacuations puts the evacuations of the facts in force.
func (n *Node) applyEvacuations(facts []fleet.Fact) {
	for _, change := range n.evacuations.Apply(facts) {
		eventEvacuation.Log(n.logger, zap.String("domain", change.Domain), zap.Bool("in_force", change.InForce), zap.Uint64("rank", change.Rank))
	}
}

// releaseTarget makes the target available. The evacuations that the peers reported are in
// force before.
func (n *Node) releaseTarget(reason releaseReason) {
	n.applyEvacuations(n.table.Facts())
	if n.target.release() {
		eventTargetReleased.Log(n.logger, zap.String("reason", string(reason)), zap.Duration("age", n.clock.Now().Sub(n.startedAt)))
	}
}
