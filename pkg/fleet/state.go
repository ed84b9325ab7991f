// Package fleet implements membership and state replication between the daemons of
// a deployment: their addresses, the target beside each daemon, the version of its
// configuration, and shared facts such as the state of moves. Each daemon is the
// only writer of its versioned state. Changes are pushed to all peers by datagram,
// and periodic exchanges with random peers (anti-entropy) deliver what a push missed.
package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Target is the target beside a daemon, as last announced to that daemon.
type Target struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	Version      string `json:"version"`
	StartMS      int64  `json:"born,omitempty"` // start time in Unix milliseconds
	Slots        int    `json:"slots"`
	Leaving      bool   `json:"leaving,omitempty"`
	Down         bool   `json:"down,omitempty"`     // crashed, or its heartbeats are missing
	WarmupLeftMS int64  `json:"warmInMS,omitempty"` // remaining cold start when the state was published
}

// State is the state that a daemon publishes about itself.
type State struct {
	Zone        string  `json:"zone"`
	CallAddress string  `json:"callAddress"` // accepts calls for the target
	SyncAddress string  `json:"syncAddress"` // serves the Fleet service
	LinkMbps    float64 `json:"linkMbps,omitempty"`
	Cores       float64 `json:"cores,omitempty"`      // CPU limit of the daemon, in cores
	Stopping    bool    `json:"stopping,omitempty"`   // no longer takes roles
	Leaving     bool    `json:"leaving,omitempty"`    // no longer accepts calls
	StoreFails  bool    `json:"storeFails,omitempty"` // the daemon cannot reach the store
	Target      *Target `json:"target,omitempty"`
}

// Member is the local view of one daemon of the fleet. The value is a copy; State
// and Target are immutable once published.
type Member struct {
	Name           string
	Incarnation    uint64
	Counter        uint64
	Heartbeat      uint64
	State          *State
	LastHeartbeat  clock.Instant // when its heartbeat last advanced
	StateChangedAt clock.Instant // when its state last changed
	ConfigVersion  uint64        // lowest configuration version that it can have in force
	LeftTarget     *Target       // leaving target of an earlier state of the daemon, nil if none
	load           byte          // of its target, encoded, as published with its last heartbeat
	Self           bool
}

const (
	// SilentAfter is the age of the last heartbeat above which a member does not
	// count as live. It covers three exchange intervals and the relay of the
	// heartbeat over other members.
	SilentAfter = 3 * time.Second
	// maxRoundGap is the time between two rounds of a daemon above which its process or its
	// machine was suspended. It is longer than the delay of a round on a busy machine.
	maxRoundGap = 2 * exchangeInterval
	// removeAfter is the age of the last heartbeat above which a member is removed
	// from the table. Until then it is still contacted, which rediscovers a daemon
	// that restarts while the store is down.
	removeAfter = 90 * time.Second
	// maxRemoved bounds the number of removed members that are remembered.
	maxRemoved = 4096
)

// Live reports whether the member has a recent heartbeat and is not leaving.
func (m *Member) Live(now clock.Instant) bool {
	return (m.Self || now.Sub(m.LastHeartbeat) <= SilentAfter) && !m.State.Leaving
}

// newer reports whether a state with the given version supersedes that of m.
func (m *Member) newer(incarnation, counter uint64) bool {
	return incarnation > m.Incarnation || incarnation == m.Incarnation && counter > m.Counter
}

func (m *Member) digest() *pb.MemberDigest {
	return &pb.MemberDigest{Name: m.Name, Incarnation: m.Incarnation, Counter: m.Counter, Beat: m.Heartbeat, Load: uint32(m.load)}
}

func (m *Member) encode() *pb.MemberState {
	payload, err := json.Marshal(m.State)
	if err != nil {
		panic("fleet: encode state: " + err.Error()) // cannot happen: all fields are plain values
	}
	return &pb.MemberState{Digest: m.digest(), Payload: payload}
}

// StateError reports a state of a peer that cannot be decoded.
type StateError struct {
	Member string
	Cause  error
}

func (e *StateError) Error() string {
	return fmt.Sprintf("fleet: decode state of %s: %v", e.Member, e.Cause)
}

// Unwrap returns the cause.
func (e *StateError) Unwrap() error { return e.Cause }

func decodeState(record *pb.MemberState) (*State, error) {
	state := &State{}
	if err := json.Unmarshal(record.GetPayload(), state); err != nil {
		return nil, &StateError{Member: record.GetDigest().GetName(), Cause: err}
	}
	return state, nil
}
