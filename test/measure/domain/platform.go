package domain

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"nutmegstand.example/nutmegstand/pkg/store"
)

// Rates and latency of the platform (design section 2.4).
const (
	readsPerSecond  = 2000
	writesPerSecond = 300
	storeLatency    = 3 * time.Millisecond
)

// platform limits a store to the platform's rates; calls beyond them wait.
type platform struct {
	store.Store
	reads, writes *rate.Limiter
	calls         atomic.Int64
}

func limit(s store.Store) store.Store {
	return &platform{
		Store: s, reads: rate.NewLimiter(readsPerSecond, readsPerSecond/100),
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond/100),
	}
}

func (p *platform) wait(ctx context.Context, op string, l *rate.Limiter) error {
	p.calls.Add(1)
	if err := l.Wait(ctx); err != nil {
		return &store.UnavailableError{Op: op, Cause: err}
	}
	time.Sleep(storeLatency)
	return nil
}

// Get implements store.Store.
func (p *platform) Get(ctx context.Context, key string) (store.Object, error) {
	if err := p.wait(ctx, "get", p.reads); err != nil {
		return store.Object{}, err
	}
	return p.Store.Get(ctx, key)
}

// List implements store.Store.
func (p *platform) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	if err := p.wait(ctx, "list", p.reads); err != nil {
		return nil, 0, err
	}
	return p.Store.List(ctx, prefix)
}

// Create implements store.Store.
func (p *platform) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	if err := p.wait(ctx, "create", p.writes); err != nil {
		return store.Object{}, err
	}
	return p.Store.Create(ctx, key, value)
}

// Update implements store.Store.
func (p *platform) Update(ctx context.Context, key string, value []byte, revision int64) (store.Object, error) {
	if err := p.wait(ctx, "update", p.writes); err != nil {
		return store.Object{}, err
	}
	return p.Store.Update(ctx, key, value, revision)
}

// Watch implements store.Store.
func (p *platform) Watch(ctx context.Context, prefix string, from int64) ([]store.Event, int64, error) {
	if err := p.wait(ctx, "watch", p.reads); err != nil {
		return nil, from, err
	}
	return p.Store.Watch(ctx, prefix, from)
}
