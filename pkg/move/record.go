package move

import (
	"encoding/json"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// recordPrefix starts the keys of move records in the store.
const recordPrefix = "move/"

// maxReplacements is the maximum number of replacements in a record.
const maxReplacements = 10

// Record is the state of a move in the store. It is written at each step and
// when the move ends.
type Record struct {
	Identity
	Stage Stage     `json:"stage"`
	By    time.Time `json:"by"`
	// Fencing and Write identify the write, so that a controller can tell whether
	// it succeeded when the store's response was lost.
	Fencing  uint64        `json:"fencing"`
	Write    uint64        `json:"write"`
	At       time.Time     `json:"at"`
	Reason   string        `json:"reason"`
	Routes   []RouteReport `json:"routes,omitempty"`
	Replaced []Replacement `json:"replaced,omitempty"`
}

// Replacement is the progress of a generation at the time a later one replaced
// it.
type Replacement struct {
	Generation   uint64       `json:"generation"`
	From         string       `json:"from"`
	To           string       `json:"to"`
	State        pb.MoveState `json:"state"`
	Share        float64      `json:"share"`
	ByGeneration uint64       `json:"byGeneration"`
	Author       string       `json:"author,omitempty"`
	At           time.Time    `json:"at"`
}

// RecordKey returns the store key of a move's record.
func RecordKey(service, move string) string { return recordPrefix + service + "/" + move }

// DecodeRecord decodes a move record.
func DecodeRecord(key string, value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, &RecordError{Key: key, Cause: err}
	}
	return &r, nil
}

func (r *Record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic("move: record cannot be encoded: " + err.Error()) // shares are finite and times are in range
	}
	return data
}

func (r *Record) ended() bool {
	return r.Stage.State == pb.MoveState_MOVE_DONE || r.Stage.State == pb.MoveState_MOVE_TAKEN_BACK
}

// nextGeneration returns the record of the generation that replaces r. It keeps
// the stage if both generations shift the same versions and r was not taken
// back.
func (r *Record) nextGeneration(plan *Plan, author string, now time.Time) *Record {
	next := &Record{Identity: plan.Identity, By: plan.By, At: now, Stage: Stage{State: pb.MoveState_MOVE_WAITING, Since: now}}
	if r.From == plan.From && r.To == plan.To && r.Stage.State != pb.MoveState_MOVE_TAKEN_BACK {
		next.Stage = r.Stage
		next.Stage.Attempts = 0 // evidence is counted by generation
		next.Stage.Since = now
	}
	next.Replaced = append(append(next.Replaced, r.Replaced...), Replacement{
		Generation: r.Generation, From: r.From, To: r.To, State: r.Stage.State, Share: r.Stage.Share,
		ByGeneration: plan.Generation, Author: author, At: now,
	})
	if n := len(next.Replaced); n > maxReplacements {
		next.Replaced = next.Replaced[n-maxReplacements:]
	}
	next.Reason = "the definition of the move changed"
	return next
}
