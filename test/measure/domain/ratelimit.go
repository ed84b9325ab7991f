package domain

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"nutmegstand.example/nutmegstand/pkg/store"
)

// Rates and latency of the store platform (section 2.4 of the design).
const (
	readsPerSecond  = 2000
	writesPerSecond = 300
	storeLatency    = 3 * time.Millisecond
)

// rateLimitedStore limits a store to the rates of the platform. Calls that exceed
// the rates wait.
type rateLimitedStore struct {
	store.Store
	reads, writes *rate.Limiter
	calls         atomic.Int64
}

func newRateLimitedStore(s store.Store) store.Store {
	return &rateLimitedStore{
		Store: s, reads: rate.NewLimiter(readsPerSecond, readsPerSecond/100),
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond/100),
	}
}

func (s *rateLimitedStore) wait(ctx context.Context, op string, l *rate.Limiter) error {
	s.calls.Add(1)
	if err := l.Wait(ctx); err != nil {
		return &store.UnavailableError{Op: op, Cause: err}
	}
	time.Sleep(storeLatency)
	return nil
}

// Get implements store.Store.
func (s *rateLimitedStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.wait(ctx, "get", s.reads); err != nil {
		return store.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

// List implements store.Store.
func (s *rateLimitedStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	if err := s.wait(ctx, "list", s.reads); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

// Create implements store.Store.
func (s *rateLimitedStore) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	if err := s.wait(ctx, "create", s.writes); err != nil {
		return store.Object{}, err
	}
	return s.Store.Create(ctx, key, value)
}

// Update implements store.Store.
func (s *rateLimitedStore) Update(ctx context.Context, key string, value []byte, revision int64) (store.Object, error) {
	if err := s.wait(ctx, "update", s.writes); err != nil {
		return store.Object{}, err
	}
	return s.Store.Update(ctx, key, value, revision)
}

// Watch implements store.Store.
func (s *rateLimitedStore) Watch(ctx context.Context, prefix string, from int64) ([]store.Event, int64, error) {
	if err := s.wait(ctx, "watch", s.reads); err != nil {
		return nil, from, err
	}
	return s.Store.Watch(ctx, prefix, from)
}
