package node

import (
	"context"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/fleet"
)

// eraKey is the key of the fact whose rank is the newest known era of the store.
const eraKey = "store-era"

// followEras passes each new era of the store on to the fleet, and stores again what the
// store may have lost, until ctx ends.
func (n *Node) followEras(ctx context.Context) {
	for known := uint64(0); ; {
		changed := n.platform.Eras.Changed()
		if era := n.platform.Eras.Current(); era > known {
			n.fleet.SetFact(eraKey, era, nil)
			if known > 0 {
				eventStoreReturned.Log(n.logger, zap.Uint64("era", era))
				n.entry.storeAgain()
			}
			known = era
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// applyEras records the era that peers have seen. Daemons that make no calls to the store
// learn it in this way.
func (n *Node) applyEras(facts []fleet.Fact) {
	for i := range facts {
		if facts[i].Key == eraKey {
			n.platform.Eras.Advance(facts[i].Rank)
		}
	}
}
