package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// adminGrace lets an answer of the administration API under way end.
const adminGrace = time.Second

// drain is the graceful shutdown. The endpoint record says "leaving" first, so
// that callers go elsewhere while the calls under way end.
func (d *Daemon) drain() {
	timeout := time.Duration(d.settings.DrainTimeout)
	eventDraining.Log(d.logger, zap.Duration("timeout", timeout))
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var cutTarget, cutCalls int
	var wg sync.WaitGroup
	wg.Go(func() { cutTarget = d.local.Leave(ctx).Cut })
	wg.Go(func() { cutCalls = len(d.calls.Drain(ctx).Cut) })
	wg.Wait()
	// Calls under way may make inner calls until they have ended.
	cutInner := len(d.inner.Drain(ctx).Cut)
	cutStreams := d.gate.DrainStreams(ctx)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), adminGrace)
	defer cancelClose()
	_ = d.announce.Close(closeCtx)
	eventDrained.Log(d.logger, zap.Int("cut", cutTarget+cutCalls+cutInner+cutStreams),
		zap.Int("cut_target", cutTarget), zap.Int("cut_calls", cutCalls), zap.Int("cut_inner", cutInner),
		zap.Int("cut_streams", cutStreams), zap.Duration("took", time.Since(started)))
}
