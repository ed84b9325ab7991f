// Package rollout shifts the traffic of a service to a new target version
// within seconds. The controller raises the share in steps while the new
// version does as well as the old one, and takes it back when it does worse.
// Every daemon follows the plans that the controller records.
package rollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// State is the state of a move.
type State string

// States of a move. Completed and RolledBack are final.
const (
	Active     State = "active"
	Completed  State = "completed"
	RolledBack State = "rolledBack"
)

// Order is the operator's request to move a service to a target version.
type Order struct {
	Service  string        `json:"service"`
	Target   string        `json:"target"` // version
	Duration time.Duration `json:"duration"`
	Revision int64         `json:"revision"` // of the order's object in the store
	Created  int64         `json:"created"`  // revision at which the object was created
	State    State         `json:"state"`    // as reported to the operator, empty at first
	Reported string        `json:"reported"` // version that State speaks of
}

// Final reports whether the order's end was reported to the operator.
func (o *Order) Final() bool {
	return o.Reported == o.Target && (o.State == Completed || o.State == RolledBack)
}

// ID identifies the order: an object that is written again for another version
// is another order.
func (o *Order) ID() string { return fmt.Sprintf("%d/%s", o.Created, o.Target) }

// Plan is what all daemons follow for a service.
type Plan struct {
	Order     string        `json:"order"` // ID of the order
	Service   string        `json:"service"`
	Target    string        `json:"target"`
	State     State         `json:"state"`
	Share     float64       `json:"share"`     // of the requests that go to the target version
	Closing   bool          `json:"closing"`   // old targets get no request any more
	Forbidden []string      `json:"forbidden"` // versions that were rolled back before
	Elapsed   time.Duration `json:"elapsed"`   // since the order, when the plan was written
	Reason    string        `json:"reason,omitempty"`
}

// Keys of facts and of the store's objects.
const (
	orderKeyPrefix = "order/"
	planKeyPrefix  = "move/"
	// PlanKind is the kind of the store's objects that hold plans.
	PlanKind = "nutmegstand-moves"
	// rankShift leaves room for facts that are newer than the last write to the
	// store, which a take-back does not wait for.
	rankShift = 8
)

// Rank orders plans by the store's revision.
func Rank(revision int64) uint64 { return uint64(revision) << rankShift }

// OrderKey is the key of an order's fact.
func OrderKey(service string) string { return orderKeyPrefix + service }

// PlanKey is the key of a plan's fact.
func PlanKey(service string) string { return planKeyPrefix + service }

func serviceOfPlan(key string) (string, bool) { return strings.CutPrefix(key, planKeyPrefix) }

func serviceOfOrder(key string) (string, bool) { return strings.CutPrefix(key, orderKeyPrefix) }

// DecodeError reports a plan or an order that cannot be decoded.
type DecodeError struct {
	Key   string
	Cause error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("rollout: %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Encode returns a plan or an order as JSON.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("rollout: cannot be encoded: " + err.Error()) // plain values only
	}
	return data
}

// Decode reads a plan or an order.
func Decode[T any](key string, payload []byte) (*T, error) {
	v := new(T)
	if err := json.Unmarshal(payload, v); err != nil {
		return nil, &DecodeError{Key: key, Cause: err}
	}
	return v, nil
}

// allows reports whether a request may run on a version.
func (p *Plan) allows(version string) bool {
	if slices.Contains(p.Forbidden, version) {
		return false
	}
	switch {
	case p.State == RolledBack:
		return version != p.Target
	case p.State == Completed || p.Closing:
		return version == p.Target
	}
	return true
}
