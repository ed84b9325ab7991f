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

// storeTimeout is the limit of one store call. It exceeds the latency of a slow
// store (5 s).
const storeTimeout = 8 * time.Second

// startStoreCall starts the store call with the highest priority, unless one is
// in progress. Writes of take-backs come first, then reads, then writes of steps.
func (c *Controller) startStoreCall(ctx context.Context, now time.Time) {
	if c.storeCallActive {
		return
	}
	var first *runner
	best := 0
	for _, key := range slices.Sorted(maps.Keys(c.runners)) {
		r := c.runners[key]
		if priority := r.priority(); priority > best && !now.Before(r.notBefore) {
			first, best = r, priority
		}
	}
	if first == nil {
		return
	}
	call := first.storeCall(c)
	c.storeCallActive = true
	results := c.results
	c.options.Spawn(func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		results <- call(bounded)
	})
}

func (r *runner) priority() int {
	switch {
	case r.takenBack && r.pendingWrite != nil:
		return 3
	case !r.recordLoaded || r.unconfirmedWrite != nil:
		return 2
	case r.pendingWrite != nil:
		return 1
	}
	return 0
}

// storeCall returns a function that does the call, for a separate goroutine. That
// function returns another one, which applies the result on the controller's loop.
func (r *runner) storeCall(c *Controller) func(context.Context) func(time.Time) {
	s, key := c.options.Store, r.key
	if !r.recordLoaded || r.unconfirmedWrite != nil {
		return func(ctx context.Context) func(time.Time) {
			object, err := s.Get(ctx, key)
			return func(now time.Time) { r.afterRead(c, now, object, err) }
		}
	}
	record, revision := r.pendingWrite, r.revision
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

// scheduleRetry delays the next store call by an exponential backoff with jitter.
func (r *runner) scheduleRetry(c *Controller, now time.Time, err error) {
	wait := r.backoff.NextBackOff()
	r.notBefore = now.Add(time.Duration(float64(wait) * (0.8 + 0.4*c.rng.Float64())))
	eventStoreError.Log(c.options.Logger, append(r.fields(), zap.Error(err))...)
}

func (r *runner) afterWrite(c *Controller, now time.Time, written *Record, object store.Object, err error) {
	switch {
	case err == nil:
		r.confirmWrite(c, now, written, object.Revision)
		return
	case store.IsOutcomeUnknown(err):
		r.unconfirmedWrite = written
	case store.IsConflict(err):
		r.recordLoaded = false
	}
	r.discardPendingStep()
	r.scheduleRetry(c, now, err)
}

// discardPendingStep discards a step that was not written, so that the judge
// decides again. A pending take-back is kept.
func (r *runner) discardPendingStep() {
	if !r.takenBack {
		r.pendingWrite = nil
	}
}

// confirmWrite applies the stage of a record that the store has accepted.
func (r *runner) confirmWrite(c *Controller, now time.Time, written *Record, revision int64) {
	r.backoff.Reset()
	r.record, r.revision, r.recordLoaded, r.unconfirmedWrite = written, revision, true, nil
	if r.pendingWrite != nil && r.pendingWrite.Write <= written.Write {
		r.pendingWrite = nil
	}
	if written.Stage.State == pb.MoveState_MOVE_TAKEN_BACK {
		eventRecorded.Log(c.options.Logger, r.fields()...)
		return
	}
	if r.takenBack {
		r.pendingWrite.Replaced = written.Replaced
		return // taken back while the step was being written
	}
	if written.Stage.Share > r.stage.Share && !c.options.LeaseValid() {
		return // the next lease holder continues from the record
	}
	r.reason = written.Reason
	stage := written.Stage
	stage.Since = now
	r.applyStage(c, now, stage)
	event := eventStep
	if stage.State == pb.MoveState_MOVE_DONE {
		event = eventDone
	}
	event.Log(c.options.Logger, append(r.fields(), zap.Time("by", r.plan.By))...)
}

// afterRead resumes from the record, or finds out whether a write with an unknown
// outcome succeeded.
func (r *runner) afterRead(c *Controller, now time.Time, object store.Object, err error) {
	if err != nil && !store.IsNotFound(err) {
		r.scheduleRetry(c, now, err)
		return
	}
	r.backoff.Reset()
	if err != nil {
		r.recordLoaded, r.record, r.revision, r.unconfirmedWrite = true, nil, 0, nil
		r.startWithoutRecord(now)
		return
	}
	record, err := DecodeRecord(r.key, object.Value)
	if err != nil {
		r.notBefore = now.Add(r.backoff.MaxInterval)
		r.reason = err.Error()
		eventBadRecord.Log(c.options.Logger, append(r.fields(), zap.Error(err))...)
		return
	}
	if u := r.unconfirmedWrite; u != nil && record.Fencing == u.Fencing && record.Write == u.Write {
		r.confirmWrite(c, now, record, object.Revision)
		return
	}
	r.unconfirmedWrite = nil
	if record.Fencing > c.fencing {
		c.highestFencing = max(c.highestFencing, record.Fencing)
		return
	}
	if record.Generation > r.plan.Generation {
		r.notBefore = now.Add(time.Second) // the local bundle is older than the record
		return
	}
	r.resumeFromRecord(c, now, record, object.Revision)
}

// startWithoutRecord starts a move that has no record in the store.
func (r *runner) startWithoutRecord(now time.Time) {
	if r.judge == nil && !r.takenBack {
		r.startJudge(now)
	}
}

// resumeFromRecord resumes from a record of this or an earlier generation.
func (r *runner) resumeFromRecord(c *Controller, now time.Time, record *Record, revision int64) {
	r.recordLoaded, r.revision = true, revision
	if record.Generation < r.plan.Generation {
		next := record.nextGeneration(&r.plan, c.options.Author(r.plan.Generation), now)
		eventReplaced.Log(c.options.Logger, append(r.fields(), zap.Uint64("replaced", record.Generation))...)
		c.writes++
		next.Fencing, next.Write = c.fencing, c.writes
		if r.takenBack {
			r.pendingWrite.Replaced = next.Replaced
			return
		}
		r.pendingWrite = next
		record = &Record{Identity: next.Identity, Stage: next.Stage, Replaced: next.Replaced, By: next.By, Reason: next.Reason}
	}
	r.record = record
	if r.takenBack {
		r.prepareWrite(c, now, r.stage, r.reason)
		return
	}
	stage := record.Stage
	switch {
	case stage.State == pb.MoveState_MOVE_TAKEN_BACK:
		r.takenBack, r.reason = true, record.Reason
	case r.judge != nil && r.stage.Share < stage.Share && !record.ended():
		stage = r.stage // a share lowered for a probe is not recorded
	}
	r.stage = stage
	if r.judge == nil {
		r.startJudge(now)
	} else {
		r.judge.SetStage(now, stage)
	}
	r.grantedAt = time.Time{}
}
