package accept

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// readBackAttempts and readBackInterval allow for about one second of retries,
	// within which most lost connections have been re-established.
	readBackAttempts = 5
	readBackInterval = 100 * time.Millisecond
)

// writeBlobs writes the blobs that the previous version does not reference. When it
// succeeds, the store revision of each blob is greater than the revision of the head
// that was read, which prevents the Collector from removing them.
func (a *Acceptor) writeBlobs(ctx context.Context, stored *storedConfig, c *commit) error {
	for _, digest := range c.newDigests(stored) {
		if err := a.writeBlob(ctx, stored, digest, c.content[digest]); err != nil {
			return err
		}
	}
	return nil
}

// writeBlob writes one blob. It is idempotent, because the content of a key never
// changes. An existing blob was written by an incomplete apply, for an older version
// or by a write whose response was lost. If it is older than the head it is
// rewritten, so that its revision becomes newer than the head.
func (a *Acceptor) writeBlob(ctx context.Context, stored *storedConfig, digest string, data []byte) error {
	key := config.BlobPrefix + digest
	var expected int64
	var err error
	for range maxWriteAttempts {
		if expected == 0 {
			_, err = a.options.Store.Create(ctx, key, data)
		} else {
			_, err = a.options.Store.Update(ctx, key, data, expected)
		}
		if conflict, ok := asConflict(err); ok {
			if conflict.Revision > stored.revision {
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

// writeHead performs the conditional update of the head. It returns false if
// another apply has updated the head and this version can no longer take effect.
//
// After a lost response writeHead reads the head. If the head still has the old
// revision, writeHead repeats the write with the condition on that same revision,
// so that at most one of the two writes can take effect.
func (a *Acceptor) writeHead(ctx context.Context, stored *storedConfig, c *commit) (bool, error) {
	op := c.head.Operations[len(c.head.Operations)-1]
	data := c.encodeHead()
	uncertain := false
	var err error
	for range maxWriteAttempts {
		if err = a.putHead(ctx, stored.revision, data); err == nil {
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
		if revision != stored.revision {
			return false, confirmNotApplied(head, op, err)
		}
	}
	return false, &OutcomeUnknownError{Operation: op.ID, Cause: err}
}

// readBack reads the head after a lost response. The fault that caused the loss
// often fails the first read as well, so readBack retries the read with backoff.
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
	}, backoff.WithBackOff(interval), backoff.WithMaxTries(readBackAttempts))
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

// confirmNotApplied returns nil if the operations in the head prove that the lost
// write had no effect. It returns an OutcomeUnknownError if the operations no longer
// reach back to the version that the write would have created.
func confirmNotApplied(head config.Head, op config.Operation, cause error) error {
	if len(head.Operations) > 0 && head.Operations[0].Version <= op.Version {
		return nil
	}
	return &OutcomeUnknownError{Operation: op.ID, Cause: cause}
}
