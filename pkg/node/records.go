package node

import (
	"context"

	"nutmegstand.example/nutmegstand/pkg/rollout"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// records stores the plans of moves in the store of the platform.
type records struct{ Platform }

var _ rollout.Records = records{}

func planKey(service string) string { return rollout.PlanKind + "/" + service }

// LoadPlan implements rollout.Records.
func (r records) LoadPlan(ctx context.Context, service string) (*rollout.Plan, int64, error) {
	object, err := r.Store.Get(ctx, planKey(service))
	if store.IsNotFound(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	plan, err := rollout.Decode[rollout.Plan](object.Key, object.Value)
	return plan, object.Revision, err
}

// SavePlan implements rollout.Records.
func (r records) SavePlan(ctx context.Context, plan *rollout.Plan, ifRevision int64) (int64, error) {
	var object store.Object
	var err error
	if ifRevision == 0 {
		object, err = r.Store.Create(ctx, planKey(plan.Service), rollout.Encode(plan))
	} else {
		object, err = r.Store.Update(ctx, planKey(plan.Service), rollout.Encode(plan), ifRevision)
	}
	return object.Revision, err
}

// ReportState implements rollout.Records.
func (r records) ReportState(ctx context.Context, order *rollout.Order, state rollout.State) error {
	return r.Operator.ReportState(ctx, order, state)
}
