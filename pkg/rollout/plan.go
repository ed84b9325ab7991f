// Package rollout moves the traffic of a service to a new target version within
// seconds. The controller raises the new version's share of the requests in steps
// while that version performs as well as the old one, and rolls it back when it
// performs worse. Every daemon applies the plans that the controller publishes.
package rollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/store"
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
	State    State         `json:"state"`    // last state reported to the operator, empty before the first report
	Reported string        `json:"reported"` // target version to which State refers
	// Previous has the target versions of earlier orders of the service, the latest last.
	Previous []string `json:"previous,omitempty"`
}

// maxPrevious bounds the earlier target versions that an order names.
const maxPrevious = 8

// Succeed returns the order as the successor of the known one, which may be nil. It
// reports false for an order that the known one has replaced, if the store has returned
// from a copy in between: the operator writes the known one again.
func (o *Order) Succeed(known *Order) (*Order, bool) {
	next := *o
	if known == nil {
		return &next, true
	}
	next.Previous = known.Previous
	if o.Target == known.Target {
		return &next, true
	}
	if eraOf(known.Revision) < eraOf(o.Revision) && slices.Contains(known.Previous, o.Target) {
		return nil, false
	}
	next.Previous = slices.DeleteFunc(slices.Clone(known.Previous), func(v string) bool { return v == o.Target || v == known.Target })
	next.Previous = append(next.Previous, known.Target)
	next.Previous = next.Previous[max(0, len(next.Previous)-maxPrevious):]
	return &next, true
}

// eraOf returns the era of a revision of the store.
func eraOf(revision int64) uint64 {
	era, _ := store.SplitRevision(revision)
	return era
}

// Final reports whether the end of the order has been reported to the operator.
func (o *Order) Final() bool {
	return o.Reported == o.Target && (o.State == Completed || o.State == RolledBack)
}

// ID returns the identifier of the order. An object that is updated with another
// target version is another order. An object that a returned store still has keeps its ID.
func (o *Order) ID() string {
	_, created := store.SplitRevision(o.Created)
	return fmt.Sprintf("%d/%s", created, o.Target)
}

// Plan determines the use of a service's versions on all daemons.
type Plan struct {
	Order string `json:"order"` // ID of the order
	// OrderRevision is the revision of the order's object when the plan was made.
	OrderRevision int64         `json:"orderRevision,omitempty"`
	Service       string        `json:"service"`
	Target        string        `json:"target"`
	State         State         `json:"state"`
	Share         float64       `json:"share"`     // fraction of the requests for the target version
	Closing       bool          `json:"closing"`   // old targets get no new requests
	Forbidden     []string      `json:"forbidden"` // versions rolled back by previous orders
	Elapsed       time.Duration `json:"elapsed"`   // from the order to the last write of the plan
	Reason        string        `json:"reason,omitempty"`
}

// isFor reports whether the plan is that of an order. An order that the operator has written
// again, after the store had returned from a copy, may be another object.
func (p *Plan) isFor(o *Order) bool {
	return p.Order == o.ID() || p.Target == o.Target && eraOf(p.OrderRevision) < eraOf(o.Revision)
}

// ended returns the plan with a final state.
func (p *Plan) ended(state State) *Plan {
	next := *p
	next.State = state
	if state == RolledBack {
		next.Share, next.Closing = 0, false
	}
	return &next
}

// replaces reports whether the plan is that of a later order than another plan of the service.
func (p *Plan) replaces(other *Plan) bool {
	return p.Order != other.Order && p.OrderRevision > other.OrderRevision
}

// Keys of facts and kinds of store objects.
const (
	orderKeyPrefix = "order/"
	planKeyPrefix  = "move/"
	// PlanKind is the kind of the store objects that contain plans.
	PlanKind = "nutmegstand-moves"
	// rankShift is the number of low bits of a rank that are reserved for plans
	// newer than the last store write: a rollback is published before it is
	// recorded.
	rankShift = 8
)

// Rank returns the rank of a plan or an order that was stored at a revision.
func Rank(revision int64) uint64 { return uint64(revision) << rankShift }

// eraOfRank returns the era of the store in which a plan was stored.
func eraOfRank(rank uint64) uint64 { return eraOf(int64(rank >> rankShift)) }

// OrderKey returns the key of the fact that contains a service's order.
func OrderKey(service string) string { return orderKeyPrefix + service }

// PlanKey returns the key of the fact that contains a service's plan.
func PlanKey(service string) string { return planKeyPrefix + service }

func serviceOfPlan(key string) (string, bool) { return strings.CutPrefix(key, planKeyPrefix) }

func serviceOfOrder(key string) (string, bool) { return strings.CutPrefix(key, orderKeyPrefix) }

// DecodeError is returned for a plan or an order that cannot be decoded.
type DecodeError struct {
	Key   string
	Cause error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("rollout: cannot decode %s: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// EndedError is returned for a report of an order whose operator has been told another end.
type EndedError struct {
	Service, Target string
	State           State // that was reported
}

func (e *EndedError) Error() string {
	return fmt.Sprintf("rollout: the order to move %s to %s was reported as %s", e.Service, e.Target, e.State)
}

// ReplacedError is returned for a report of an order that the operator has replaced.
type ReplacedError struct{ Service, Target string }

func (e *ReplacedError) Error() string {
	return fmt.Sprintf("rollout: the order to move %s to %s was replaced", e.Service, e.Target)
}

// Encode returns a plan, an order or a report as JSON.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("rollout: cannot encode value as JSON: " + err.Error()) // plans, orders and reports contain only encodable values
	}
	return data
}

// Decode decodes a plan, an order or a report. The key is named in the error.
func Decode[T any](key string, payload []byte) (*T, error) {
	v := new(T)
	if err := json.Unmarshal(payload, v); err != nil {
		return nil, &DecodeError{Key: key, Cause: err}
	}
	return v, nil
}

// allowsWith is allows, unless the target version is withheld: then only the versions that
// were in use before the order are allowed, whatever the plan says.
func (p *Plan) allowsWith(version string, withheld bool) bool {
	if withheld {
		return version != p.Target && !slices.Contains(p.Forbidden, version)
	}
	return p.allows(version)
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
