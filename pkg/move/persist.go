package move

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// storeTimeout is above the slowest answer of a slow store (5 s).
const storeTimeout = 8 * time.Second

// startStoreCall starts the most urgent store call, if none is under way.
// Take-backs come first, then records to be read, then steps.
func (c *Controller) startStoreCall(ctx context.Context, now time.Time) {
	if c.busy {
		return
	}
	var first *runner
	best := 0
	for _, key := range slices.Sorted(maps.Keys(c.runners)) {
		r := c.runners[key]
		if u := r.urgency(); u > best && !now.Before(r.notBefore) {
			first, best = r, u
		}
	}
	if first == nil {
		return
	}
	call := first.storeCall(c)
	c.busy = true
	results := c.results
	c.options.Spawn(func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		results <- call(bounded)
	})
}

func (r *runner) urgency() int {
	switch {
	case r.takenBack && r.wanted != nil:
		return 3
	case !r.loaded || r.uncertain != nil:
		return 2
	case r.wanted != nil:
		return 1
	}
	return 0
}

// storeCall returns the call; the call returns what to do with its answer.
func (r *runner) storeCall(c *Controller) func(context.Context) func(time.Time) {
	s, key := c.options.Store, r.key
	if !r.loaded || r.uncertain != nil {
		return func(ctx context.Context) func(time.Time) {
			object, err := s.Get(ctx, key)
			return func(now time.Time) { r.afterRead(c, now, object, err) }
		}
	}
	record, revision := r.wanted, r.revision
	return func(ctx context.Context) func(time.Time) {
		var object store.Object
		var err error
		if revision == 0 {
			object, err = s.Create(ctx, key, record.encode())
		} else {
			object, err = s.Update(ctx, key, record.encode(), revision)
		}
		return func(now time.Time) { r.afterWrite(c, now, record, object, err) }
	}
}

// retryLater backs off with jitter.
func (r *runner) retryLater(c *Controller, now time.Time, err error) {
	wait := r.backoff.NextBackOff()
	r.notBefore = now.Add(time.Duration(float64(wait) * (0.8 + 0.4*c.rng.Float64())))
	eventStoreError.Log(c.options.Logger, append(r.fields(), zap.Error(err))...)
}

func (r *runner) afterWrite(c *Controller, now time.Time, written *Record, object store.Object, err error) {
	switch {
	case err == nil:
		r.recorded(c, now, written, object.Revision)
		return
	case store.IsOutcomeUnknown(err):
		r.uncertain = written
	case store.IsConflict(err):
		r.loaded = false
	}
	r.dropStep()
	r.retryLater(c, now, err)
}

// dropStep forgets a step that was not written; the judge decides afresh. A
// take-back stays to be written.
func (r *runner) dropStep() {
	if !r.takenBack {
		r.wanted = nil
	}
}

// recorded puts a written record into force.
func (r *runner) recorded(c *Controller, now time.Time, written *Record, revision int64) {
	r.backoff.Reset()
	r.record, r.revision, r.loaded, r.uncertain = written, revision, true, nil
	if r.wanted != nil && r.wanted.Write <= written.Write {
		r.wanted = nil
	}
	if written.Stage.State == pb.MoveState_MOVE_TAKEN_BACK {
		eventRecorded.Log(c.options.Logger, r.fields()...)
		return
	}
	if r.takenBack {
		r.wanted.Replaced = written.Replaced
		return // decided while the step was being written
	}
	if written.Stage.Share > r.stage.Share && !c.options.LeaseValid() {
		return // the holder of the next lease continues from the record
	}
	r.reason = written.Reason
	stage := written.Stage
	stage.Since = now
	r.enter(c, now, stage)
	event := eventStep
	if stage.State == pb.MoveState_MOVE_DONE {
		event = eventDone
	}
	event.Log(c.options.Logger, append(r.fields(), zap.Time("by", r.plan.By))...)
}

// afterRead continues from the record, or settles a lost answer.
func (r *runner) afterRead(c *Controller, now time.Time, object store.Object, err error) {
	if err != nil && !store.IsNotFound(err) {
		r.retryLater(c, now, err)
		return
	}
	r.backoff.Reset()
	if err != nil {
		r.loaded, r.record, r.revision, r.uncertain = true, nil, 0, nil
		r.begin(now)
		return
	}
	record, err := DecodeRecord(r.key, object.Value)
	if err != nil {
		r.notBefore = now.Add(r.backoff.MaxInterval)
		r.reason = err.Error()
		eventBadRecord.Log(c.options.Logger, append(r.fields(), zap.Error(err))...)
		return
	}
	if u := r.uncertain; u != nil && record.Fencing == u.Fencing && record.Write == u.Write {
		r.recorded(c, now, record, object.Revision)
		return
	}
	r.uncertain = nil
	if record.Fencing > c.fencing {
		c.seen = max(c.seen, record.Fencing)
		return
	}
	if record.Generation > r.plan.Generation {
		r.notBefore = now.Add(time.Second) // the bundle here is behind
		return
	}
	r.adopt(c, now, record, object.Revision)
}

// begin starts a move that has no record yet.
func (r *runner) begin(now time.Time) {
	if r.judge == nil && !r.takenBack {
		r.startJudge(now)
	}
}

// adopt continues from a record of this or an earlier generation.
func (r *runner) adopt(c *Controller, now time.Time, record *Record, revision int64) {
	r.loaded, r.revision = true, revision
	if record.Generation < r.plan.Generation {
		next := record.succeed(&r.plan, c.options.Author(r.plan.Generation), now)
		eventReplaced.Log(c.options.Logger, append(r.fields(), zap.Uint64("replaced", record.Generation))...)
		c.writes++
		next.Fencing, next.Write = c.fencing, c.writes
		if r.takenBack {
			r.wanted.Replaced = next.Replaced
			return
		}
		r.wanted = next
		record = &Record{Identity: next.Identity, Stage: next.Stage, Replaced: next.Replaced, By: next.By, Reason: next.Reason}
	}
	r.record = record
	if r.takenBack {
		r.want(c, now, r.stage, r.reason)
		return
	}
	stage := record.Stage
	switch {
	case stage.State == pb.MoveState_MOVE_TAKEN_BACK:
		r.takenBack, r.reason = true, record.Reason
	case r.judge != nil && r.stage.Share < stage.Share && !record.ended():
		stage = r.stage // a share that was lowered to compare is not in the record
	}
	r.stage = stage
	if r.judge == nil {
		r.startJudge(now)
	} else {
		r.judge.SetStage(now, stage)
	}
	r.grantedAt = time.Time{}
}
