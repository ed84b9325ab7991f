package route

import (
	"container/list"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// maxBuckets limits the token buckets of a daemon, at about 300 bytes each.
	maxBuckets = 8192
	// shareLifetime is the time after which a share expires if no distributor has
	// renewed it. The full allowance then applies again.
	shareLifetime = 5 * time.Second
	// publishFraction is the fraction of the allowance above which usage is
	// published.
	publishFraction = 0.5
	// overflowMember is the name of the bucket that members of a route share when all
	// buckets are in use. It cannot collide with a member name, because member names
	// contain no spaces.
	overflowMember = "other members"
)

type bucketKey struct{ service, route, member string }

// bucket is the token bucket of one member on one route.
type bucket struct {
	key          bucketKey
	allowance    config.Rate
	limiter      *rate.Limiter
	calls        int // since the last publication
	shareExpires time.Time
}

// full reports whether the bucket equals a new one, so that it can be removed
// without losing state.
func (b *bucket) full(now time.Time) bool {
	return b.shareExpires.IsZero() && b.limiter.TokensAt(now) >= float64(b.allowance.Burst)
}

// limits holds the token buckets of all members.
type limits struct {
	mu            sync.Mutex
	buckets       map[bucketKey]*list.Element
	lru           *list.List // most recently used first
	max           int
	lastPublished time.Time
}

func newLimits(maximum int, now time.Time) *limits {
	return &limits{buckets: map[bucketKey]*list.Element{}, lru: list.New(), max: maximum, lastPublished: now}
}

// allow takes a token, or returns the time until one is available.
func (l *limits) allow(service, route, member string, allowance config.Rate, now time.Time) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(bucketKey{service, route, member}, allowance, now)
	b.calls++
	if b.limiter.AllowN(now, 1) {
		return 0, true
	}
	missing := 1 - b.limiter.TokensAt(now)
	perSecond := float64(b.limiter.Limit())
	if perSecond <= 0 {
		return shareLifetime, false
	}
	return time.Duration(missing / perSecond * float64(time.Second)), false
}

func (l *limits) bucket(key bucketKey, allowance config.Rate, now time.Time) *bucket {
	if e, ok := l.buckets[key]; ok {
		l.lru.MoveToFront(e)
		b := e.Value.(*bucket)
		b.refresh(allowance, now)
		return b
	}
	if len(l.buckets) >= l.max && !l.evict(now) && key.member != overflowMember {
		return l.bucket(bucketKey{key.service, key.route, overflowMember}, allowance, now)
	}
	b := &bucket{
		key: key, allowance: allowance,
		limiter: rate.NewLimiter(rate.Limit(allowance.PerSecond), burst(allowance)),
	}
	l.buckets[key] = l.lru.PushFront(b)
	return b
}

func burst(allowance config.Rate) int { return max(1, allowance.Burst) }

// refresh applies a changed allowance, and restores the allowance when the share has
// expired.
func (b *bucket) refresh(allowance config.Rate, now time.Time) {
	expired := !b.shareExpires.IsZero() && now.After(b.shareExpires)
	if b.allowance == allowance && !expired {
		return
	}
	b.allowance, b.shareExpires = allowance, time.Time{}
	b.limiter.SetLimitAt(now, rate.Limit(allowance.PerSecond))
	b.limiter.SetBurstAt(now, burst(allowance))
}

// evict removes the least recently used bucket if it is full, and reports whether it
// did. Buckets that are not full are never removed; otherwise a caller could refill
// its bucket by sending made-up member names.
func (l *limits) evict(now time.Time) bool {
	oldest := l.lru.Back()
	b := oldest.Value.(*bucket)
	b.refresh(b.allowance, now)
	if !b.full(now) {
		return false
	}
	l.lru.Remove(oldest)
	delete(l.buckets, b.key)
	return true
}

// usage returns, by service, the usage since the previous call of usage for members
// that used more than half of their allowance.
func (l *limits) usage(now time.Time) map[string][]*pb.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.lastPublished).Seconds()
	if elapsed <= 0 {
		return nil
	}
	l.lastPublished = now
	result := map[string][]*pb.Usage{}
	for e := l.lru.Front(); e != nil; e = e.Next() {
		b := e.Value.(*bucket)
		perSecond := float64(b.calls) / elapsed
		b.calls = 0
		if perSecond > publishFraction*b.allowance.PerSecond && b.key.member != overflowMember {
			result[b.key.service] = append(result[b.key.service], &pb.Usage{
				Route: b.key.route, Member: b.key.member, CallsPerSecond: perSecond,
			})
		}
	}
	return result
}

// applyShares applies the shares returned by a distributor. A share never exceeds
// the allowance.
func (l *limits) applyShares(service string, shares []*pb.Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, share := range shares {
		e, ok := l.buckets[bucketKey{service, share.GetRoute(), share.GetMember()}]
		if !ok {
			continue
		}
		b := e.Value.(*bucket)
		perSecond := min(max(0, share.GetSharePerSecond()), b.allowance.PerSecond)
		fraction := 1.0
		if b.allowance.PerSecond > 0 {
			fraction = perSecond / b.allowance.PerSecond
		}
		b.shareExpires = now.Add(shareLifetime)
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
		b.limiter.SetBurstAt(now, max(1, int(fraction*float64(burst(b.allowance)))))
	}
}
