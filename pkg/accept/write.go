package accept

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// readBackTries and readBackInterval let about a second pass, in which most
	// lost connections have been replaced.
	readBackTries    = 5
	readBackInterval = 100 * time.Millisecond
)

// writeBlobs writes the blobs that the version before does not hold. When it
// returns, the store revision of each is larger than that of the head read,
// which is what keeps the Collector from removing them.
func (a *Acceptor) writeBlobs(ctx context.Context, s *state, c *commit) error {
	for _, digest := range c.fresh(s) {
		if err := a.writeBlob(ctx, s, digest, c.content[digest]); err != nil {
			return err
		}
	}
	return nil
}

// writeBlob is safe to repeat, since the content of a key never differs. A blob
// that exists is left from an apply that did not end, from an older version or
// from a write whose answer was lost. If it is older than the head it is
// written again, so that it counts as new.
func (a *Acceptor) writeBlob(ctx context.Context, s *state, digest string, data []byte) error {
	key := config.BlobPrefix + digest
	var expected int64
	var err error
	for range maxWriteTries {
		if expected == 0 {
			_, err = a.options.Store.Create(ctx, key, data)
		} else {
			_, err = a.options.Store.Update(ctx, key, data, expected)
		}
		if conflict, ok := asConflict(err); ok {
			if conflict.Revision > s.revision {
				return nil
			}
			expected = conflict.Revision
			continue
		}
		if !store.IsOutcomeUnknown(err) {
			return err
		}
	}
	return err
}

// writeHead makes the conditional update of the head. It returns false if the
// head has been updated by someone else and this version can no longer take
// effect.
//
// After a lost answer the head is read first. If it still has the old revision,
// the write is repeated on the condition of that same revision: of the lost
// write and the repeated one at most one can take effect.
func (a *Acceptor) writeHead(ctx context.Context, s *state, c *commit) (bool, error) {
	op := c.head.Operations[len(c.head.Operations)-1]
	data := c.encodeHead()
	uncertain := false
	var err error
	for range maxWriteTries {
		if err = a.putHead(ctx, s.revision, data); err == nil {
			return true, nil
		}
		if _, ok := asConflict(err); ok && !uncertain {
			return false, nil
		}
		if store.IsUnavailable(err) && !uncertain {
			return false, &NotAppliedError{Step: "updating the head", Cause: err}
		}
		uncertain = true
		head, revision, readErr := a.readBack(ctx)
		if readErr != nil {
			return false, &OutcomeUnknownError{Operation: op.ID, Cause: readErr}
		}
		if found, ok := head.Find(op.ID); ok {
			return found.Version == op.Version, nil
		}
		if revision != s.revision {
			return false, checkTrace(head, op, err)
		}
	}
	return false, &OutcomeUnknownError{Operation: op.ID, Cause: err}
}

// readBack reads the head after a lost answer. The fault that lost the answer
// often meets the first read as well, so the read is tried again for a while.
func (a *Acceptor) readBack(ctx context.Context) (config.Head, int64, error) {
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval = readBackInterval
	var revision int64
	head, err := backoff.Retry(ctx, func() (head config.Head, err error) {
		head, revision, err = a.loader.head(ctx)
		if err != nil && !store.IsUnavailable(err) {
			return head, backoff.Permanent(err)
		}
		return head, err
	}, backoff.WithBackOff(interval), backoff.WithMaxTries(readBackTries))
	return head, revision, err
}

func (a *Acceptor) putHead(ctx context.Context, revision int64, data []byte) error {
	var err error
	if revision == 0 {
		_, err = a.options.Store.Create(ctx, config.HeadKey, data)
	} else {
		_, err = a.options.Store.Update(ctx, config.HeadKey, data, revision)
	}
	return err
}

// checkTrace reports an unknown outcome if the head's list no longer reaches
// back to the version that the lost write would have made.
func checkTrace(head config.Head, op config.Operation, cause error) error {
	if len(head.Operations) > 0 && head.Operations[0].Version <= op.Version {
		return nil
	}
	return &OutcomeUnknownError{Operation: op.ID, Cause: cause}
}
