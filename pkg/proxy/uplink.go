package proxy

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// transferMin is the size in bytes from which an answer to another daemon is
	// a transfer; smaller ones are a few packets.
	transferMin = 16 << 10
	// transferMbps is the link speed for each transfer that is sent at a time;
	// with more of them each one becomes late.
	transferMbps = 5
	// minTransfers are sent at a time on the slowest link: the second one covers
	// the pauses of the first.
	minTransfers = 2
	// maxTransferWait bounds the wait behind transfers to daemons that do not read.
	maxTransferWait = 250 * time.Millisecond
	// pacedShare is the part of the link that transfers fill. The rest lets small
	// answers and the news of the fleet pass without a queue.
	pacedShare = 0.85
	// paceInterval is the time that the pieces of a paced transfer take on the
	// link, and so the longest wait behind a piece.
	paceInterval = 10 * time.Millisecond
	// bytesPerMbps converts a link's speed to bytes per second.
	bytesPerMbps = 1e6 / 8
)

// Uplink orders and paces the transfers of the machine's own link.
type Uplink struct {
	slots   chan struct{} // nil if the link's speed is not known
	pace    *rate.Limiter // bytes per second of all transfers
	pending atomic.Int64  // bytes that wait or are being sent
}

// NewUplink returns the uplink of a machine, with a speed of 0 if it is not known.
func NewUplink(mbps float64) *Uplink {
	u := &Uplink{}
	if mbps > 0 {
		u.slots = make(chan struct{}, max(minTransfers, int(mbps/transferMbps)))
		u.pace = newPace(mbps)
	}
	return u
}

func newPace(mbps float64) *rate.Limiter {
	perSecond := mbps * bytesPerMbps * pacedShare
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond*paceInterval.Seconds()))
}

// PendingKB returns the size of the transfers that wait or are being sent.
func (u *Uplink) PendingKB() float64 { return float64(u.pending.Load()) / 1024 }

// Acquire waits for the turn of an answer of the given size, and returns the
// function that ends it.
func (u *Uplink) Acquire(ctx context.Context, bytes int64) (release func()) {
	if u.slots == nil || bytes < transferMin {
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

// Pace returns a reader of a transfer's body that keeps to the speed of the own
// link and to that of the receiver, 0 if it is not known.
func (u *Uplink) Pace(ctx context.Context, body io.ReadCloser, receiverMbps float64) io.ReadCloser {
	if u.pace == nil {
		return body
	}
	p := &pacedBody{ReadCloser: body, ctx: ctx, paces: []*rate.Limiter{u.pace}}
	if receiverMbps > 0 {
		p.paces = append(p.paces, newPace(receiverMbps))
	}
	return p
}

type pacedBody struct {
	io.ReadCloser
	ctx   context.Context
	paces []*rate.Limiter
}

// Read implements io.Reader.
func (p *pacedBody) Read(b []byte) (int, error) {
	for _, pace := range p.paces {
		b = b[:min(len(b), pace.Burst())]
	}
	n, err := p.ReadCloser.Read(b)
	for _, pace := range p.paces {
		if failed := pace.WaitN(p.ctx, n); failed != nil {
			return 0, failed
		}
	}
	return n, err
}
