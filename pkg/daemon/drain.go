package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// announceCloseTimeout bounds the wait for requests in flight at the announcement
// server.
const announceCloseTimeout = time.Second

// drain performs the graceful shutdown. It first publishes the endpoint as
// leaving, so that callers select other targets while the calls in flight finish.
func (d *Daemon) drain() {
	timeout := time.Duration(d.settings.DrainTimeout)
	eventDraining.Log(d.logger, zap.Duration("timeout", timeout))
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var abortedTarget, abortedCalls int
	var wg sync.WaitGroup
	wg.Go(func() { abortedTarget = d.local.Leave(ctx).Cut })
	wg.Go(func() { abortedCalls = len(d.calls.Drain(ctx).Aborted) })
	wg.Wait()
	// Calls in flight may make inner calls until they finish.
	abortedInner := len(d.inner.Drain(ctx).Aborted)
	abortedStreams := d.gate.DrainStreams(ctx)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), announceCloseTimeout)
	defer cancelClose()
	_ = d.announce.Close(closeCtx)
	eventDrained.Log(d.logger, zap.Int("cut", abortedTarget+abortedCalls+abortedInner+abortedStreams),
		zap.Int("cut_target", abortedTarget), zap.Int("cut_calls", abortedCalls), zap.Int("cut_inner", abortedInner),
		zap.Int("cut_streams", abortedStreams), zap.Duration("took", time.Since(started)))
}
