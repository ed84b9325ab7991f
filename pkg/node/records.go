package node

import (
	"context"

	"nutmegstand.example/nutmegstand/pkg/rollout"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// records stores the plans of moves in the store of the platform. Failed calls count in
// the health of the store, so that a controller that the store rejects loses its role.
type records struct {
	Platform
	health *storeHealth
}

var _ rollout.Records = records{}

func planKey(service string) string { return rollout.PlanKind + "/" + service }

// LoadPlan implements rollout.Records.
func (r records) LoadPlan(ctx context.Context, service string) (*rollout.Plan, int64, error) {
	object, err := r.Store.Get(ctx, planKey(service))
	r.health.observe(err)
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
	r.health.observe(err)
	return object.Revision, err
}

// ReportState implements rollout.Records.
func (r records) ReportState(ctx context.Context, order *rollout.Order, state rollout.State) error {
	err := r.Operator.ReportState(ctx, order, state)
	r.health.observe(err)
	return err
}
