package target

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// probeFirst and probeMax bound the time between two probes. A probe costs
	// a target up to 6 ms, so a target that is down for long is left alone.
	probeFirst = 100 * time.Millisecond
	probeMax   = 2 * time.Second
)

// probeUntilUp opens a connection from time to time until the target accepts
// one. It takes no slot and sends no request.
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
		up := l.options.Connector.Accepts(probeCtx)
		cancel()
		if up && l.up(ctx) {
			return
		}
	}
}

// up makes the target ready again, cold as after a start. It reports whether
// the probe has ended.
func (l *Local) up(ctx context.Context) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil || l.endpoint.GetState() != pb.EndpointState_ENDPOINT_DOWN {
		return true
	}
	l.ready(true)
	eventUp.Log(l.options.Logger, zap.String("service", l.target.Service))
	return true
}
