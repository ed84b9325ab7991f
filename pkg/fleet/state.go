// Package fleet keeps what the daemons of a deployment know of one another:
// who they are, which target runs beside each, and which configuration version
// they hold. Each daemon owns one versioned state; changes are pushed to all
// peers, and periodic exchanges with random peers repair what a push missed.
package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Target is the target beside a daemon, as its daemon last heard of it.
type Target struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Version  string `json:"version"`
	Born     int64  `json:"born,omitempty"` // Unix milliseconds of its start
	Slots    int    `json:"slots"`
	Leaving  bool   `json:"leaving,omitempty"`
	Down     bool   `json:"down,omitempty"`     // crashed, or silent for too long
	WarmInMS int64  `json:"warmInMS,omitempty"` // left of its cold start when the state was published
}

// State is what a daemon says of itself.
type State struct {
	Zone          string  `json:"zone"`
	CallAddress   string  `json:"callAddress"` // takes calls for the target
	SyncAddress   string  `json:"syncAddress"` // serves the Fleet service
	LinkMbps      float64 `json:"linkMbps,omitempty"`
	Cores         float64 `json:"cores,omitempty"`    // share of a core that the daemon may use
	Stopping      bool    `json:"stopping,omitempty"` // holds no duty any more
	Leaving       bool    `json:"leaving,omitempty"`  // takes no call any more
	ConfigVersion uint64  `json:"configVersion,omitempty"`
	StoreFails    bool    `json:"storeFails,omitempty"` // its calls to the store fail
	Target        *Target `json:"target,omitempty"`
}

// Member is one daemon of the fleet as this daemon knows it. The value is a
// copy; State and Target are not changed after they were published.
type Member struct {
	Name        string
	Incarnation uint64
	Counter     uint64
	Beat        uint64
	State       *State
	HeardAt     clock.Instant // when its beat last advanced
	StateAt     clock.Instant // when its state last changed
	Left        *Target       // that had left beside the daemon's former process, nil without one
	Self        bool
}

const (
	// silentAfter is the age of a member's last beat from which it is not
	// counted as live: three exchange intervals and the relay between them.
	silentAfter = 3 * time.Second
	// forgetAfter is the age from which a silent member is no longer contacted.
	// A daemon that restarts while the store is down is found this way.
	forgetAfter = 90 * time.Second
)

func (m *Member) newer(incarnation, counter uint64) bool {
	return incarnation > m.Incarnation || incarnation == m.Incarnation && counter > m.Counter
}

func (m *Member) digest() *pb.MemberDigest {
	return &pb.MemberDigest{Name: m.Name, Incarnation: m.Incarnation, Counter: m.Counter, Beat: m.Beat}
}

func (m *Member) encode() *pb.MemberState {
	payload, err := json.Marshal(m.State)
	if err != nil {
		panic("fleet: state cannot be encoded: " + err.Error()) // it holds plain values only
	}
	return &pb.MemberState{Digest: m.digest(), Payload: payload}
}

// StateError reports a state of another daemon that cannot be decoded.
type StateError struct {
	Member string
	Cause  error
}

func (e *StateError) Error() string { return fmt.Sprintf("fleet: state of %s: %v", e.Member, e.Cause) }

// Unwrap returns the cause.
func (e *StateError) Unwrap() error { return e.Cause }

func decodeState(record *pb.MemberState) (*State, error) {
	state := &State{}
	if err := json.Unmarshal(record.GetPayload(), state); err != nil {
		return nil, &StateError{Member: record.GetDigest().GetName(), Cause: err}
	}
	return state, nil
}
