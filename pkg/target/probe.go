package target

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// probeFirst and probeMax are the first and the longest interval between
	// probes. A probe costs a target up to 6 ms, so the interval grows while the
	// target stays down.
	probeFirst = 100 * time.Millisecond
	probeMax   = 2 * time.Second
)

// probeUntilUp tries to open a connection at increasing intervals until the target
// accepts one. A probe uses no slot and sends no request.
func (l *Local) probeUntilUp(ctx context.Context) {
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval, interval.MaxInterval = probeFirst, probeMax
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval.NextBackOff()):
		}
		probeCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		accepts := l.options.Connector.Accepts(probeCtx)
		cancel()
		if accepts && l.markUp(ctx) {
			return
		}
	}
}

// markUp makes the target ready again with the cold start limits. It reports
// whether the probe has ended.
func (l *Local) markUp(ctx context.Context) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil || l.endpoint.GetState() != pb.EndpointState_ENDPOINT_DOWN {
		return true
	}
	l.markReady(true)
	eventUp.Log(l.options.Logger, zap.String("service", l.target.Service))
	return true
}
