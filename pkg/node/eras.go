package node

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/fleet"
)

const (
	// eraKey is the key of the fact whose rank is the newest known era of the store.
	eraKey = "store-era"
	// maxDepartureDelay and maxEntryDelay bound the random delay after which a daemon
	// stores its entry again in a new era, with and without departures. All daemons do so,
	// and the store bounds their calls.
	maxDepartureDelay = time.Second
	maxEntryDelay     = 10 * time.Second
)

// followEras passes each new era of the store on to the fleet, and stores again what the
// store may have lost, until ctx ends.
func (n *Node) followEras(ctx context.Context) {
	for known := uint64(0); ; {
		changed := n.platform.Eras.Changed()
		if era := n.platform.Eras.Current(); era > known {
			n.fleet.SetFact(eraKey, era, nil)
			if known > 0 {
				eventStoreReturned.Log(n.logger, zap.Uint64("era", era))
				delay := n.entry.invalidate()
				time.AfterFunc(delay, n.entry.requestSave)
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

// invalidate marks the stored entry as unknown, since the store has returned from a copy
// that may lack it. It returns the delay after which the entry is to be stored again.
func (e *storedEntry) invalidate() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stored = nil
	if len(e.entry.Left) > 0 {
		return rand.N(maxDepartureDelay)
	}
	return rand.N(maxEntryDelay)
}
