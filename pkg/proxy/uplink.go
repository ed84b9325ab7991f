package proxy

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"nutmegstand.example/nutmegstand/pkg/proxy/balance"

	"golang.org/x/time/rate"
)

const (
	// minTransferBytes is the size from which a buffered response to another
	// daemon is queued and paced as a transfer. Smaller responses take only a
	// few packets.
	minTransferBytes = balance.SmallResponseKB << 10
	// mbpsPerTransfer is the link speed that each concurrent transfer needs.
	// With more concurrent transfers all of them are late.
	mbpsPerTransfer = 5
	// minConcurrentTransfers is the limit on the slowest links. The second
	// transfer uses the link while the first one pauses.
	minConcurrentTransfers = 2
	// maxTransferWait bounds the wait for a slot. A transfer to a daemon that
	// has stopped reading may keep its slot for long.
	maxTransferWait = 250 * time.Millisecond
	// transferShare is the fraction of the link speed that transfers may use.
	// The rest lets small responses and fleet state updates pass without
	// queueing.
	transferShare = 0.85
	// chunkInterval is the time that one chunk of a paced transfer takes on the
	// link. It bounds the time that other packets wait behind a chunk.
	chunkInterval = 10 * time.Millisecond
	// bytesPerMbps converts Mbit/s to bytes per second.
	bytesPerMbps = 1e6 / 8
)

// Uplink schedules and paces the transfers on the outgoing link of the local
// machine.
type Uplink struct {
	slots   chan struct{} // one per concurrent transfer, nil if the link speed is unknown
	limiter *rate.Limiter // bytes per second of all transfers, nil if the link speed is unknown
	pending atomic.Int64  // bytes of the transfers that are queued or being sent
}

// NewUplink returns the uplink of a machine with the given link speed, 0 if it
// is unknown.
func NewUplink(mbps float64) *Uplink {
	u := &Uplink{}
	if mbps > 0 {
		u.slots = make(chan struct{}, max(minConcurrentTransfers, int(mbps/mbpsPerTransfer)))
		u.limiter = newLimiter(mbps)
	}
	return u
}

func newLimiter(mbps float64) *rate.Limiter {
	perSecond := mbps * bytesPerMbps * transferShare
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond*chunkInterval.Seconds()))
}

// PendingKB returns the size of the transfers that are queued or being sent.
func (u *Uplink) PendingKB() float64 { return float64(u.pending.Load()) / 1024 }

// Acquire waits until a response of the given size may be sent, for at most
// maxTransferWait. The returned function must be called when the transfer has
// ended.
func (u *Uplink) Acquire(ctx context.Context, bytes int64) (release func()) {
	if u.slots == nil || bytes < minTransferBytes {
		return func() {}
	}
	u.pending.Add(bytes)
	timer := time.NewTimer(maxTransferWait)
	defer timer.Stop()
	select {
	case u.slots <- struct{}{}:
		return func() {
			<-u.slots
			u.pending.Add(-bytes)
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	return func() { u.pending.Add(-bytes) }
}

// Pace returns a reader of body that is limited to the speed of the local link
// and to that of the receiver, 0 if the latter is unknown.
func (u *Uplink) Pace(ctx context.Context, body io.ReadCloser, receiverMbps float64) io.ReadCloser {
	if u.limiter == nil {
		return body
	}
	p := &pacedBody{ReadCloser: body, ctx: ctx, limiters: []*rate.Limiter{u.limiter}}
	if receiverMbps > 0 {
		p.limiters = append(p.limiters, newLimiter(receiverMbps))
	}
	return p
}

// pacedBody limits the rate at which a body is read.
type pacedBody struct {
	io.ReadCloser
	ctx      context.Context
	limiters []*rate.Limiter
}

// Read implements io.Reader.
func (p *pacedBody) Read(b []byte) (int, error) {
	for _, limiter := range p.limiters {
		b = b[:min(len(b), limiter.Burst())]
	}
	n, err := p.ReadCloser.Read(b)
	for _, limiter := range p.limiters {
		if waitErr := limiter.WaitN(p.ctx, n); waitErr != nil {
			return 0, waitErr
		}
	}
	return n, err
}
