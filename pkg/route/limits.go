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
	// maxBuckets bounds the token buckets of a daemon, at about 300 bytes each.
	maxBuckets = 8192
	// shareLifetime is the time after which a share that no distributor has
	// renewed gives way to the whole allowance.
	shareLifetime = 5 * time.Second
	// publishPart is the part of the allowance above which usage is published.
	publishPart = 0.5
	// overflowMember is the name under which members share one bucket per route
	// when every bucket is in use. It cannot be a member name, which has no space.
	overflowMember = "other members"
)

type bucketKey struct{ service, route, member string }

// bucket is the allowance of one member on one route.
type bucket struct {
	key        bucketKey
	allowance  config.Rate
	limiter    *rate.Limiter
	calls      int // since the last publication
	shareUntil time.Time
}

// full reports whether the bucket can be forgotten without loss: a new bucket
// would be the same.
func (b *bucket) full(now time.Time) bool {
	return b.shareUntil.IsZero() && b.limiter.TokensAt(now) >= float64(b.allowance.Burst)
}

// limits holds the token buckets of the members.
type limits struct {
	mu        sync.Mutex
	buckets   map[bucketKey]*list.Element
	recent    *list.List // most recently used first
	max       int
	published time.Time
}

func newLimits(maximum int, now time.Time) *limits {
	return &limits{buckets: map[bucketKey]*list.Element{}, recent: list.New(), max: maximum, published: now}
}

// take takes a token, or returns the wait until there is one.
func (l *limits) take(service, route, member string, allowance config.Rate, now time.Time) (wait time.Duration, ok bool) {
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
		l.recent.MoveToFront(e)
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
	l.buckets[key] = l.recent.PushFront(b)
	return b
}

func burst(allowance config.Rate) int { return max(1, allowance.Burst) }

// refresh follows a new allowance, and the end of a share.
func (b *bucket) refresh(allowance config.Rate, now time.Time) {
	expired := !b.shareUntil.IsZero() && now.After(b.shareUntil)
	if b.allowance == allowance && !expired {
		return
	}
	b.allowance, b.shareUntil = allowance, time.Time{}
	b.limiter.SetLimitAt(now, rate.Limit(allowance.PerSecond))
	b.limiter.SetBurstAt(now, burst(allowance))
}

// evict forgets the bucket used longest ago, if that loses nothing. Buckets in
// use are never forgotten: a caller that invents member names would otherwise
// refill its own bucket.
func (l *limits) evict(now time.Time) bool {
	oldest := l.recent.Back()
	b := oldest.Value.(*bucket)
	b.refresh(b.allowance, now)
	if !b.full(now) {
		return false
	}
	l.recent.Remove(oldest)
	delete(l.buckets, b.key)
	return true
}

// usage returns the usage since the last call, by service, of members that
// used more than half of their allowance.
func (l *limits) usage(now time.Time) map[string][]*pb.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.published).Seconds()
	if elapsed <= 0 {
		return nil
	}
	l.published = now
	result := map[string][]*pb.Usage{}
	for e := l.recent.Front(); e != nil; e = e.Next() {
		b := e.Value.(*bucket)
		perSecond := float64(b.calls) / elapsed
		b.calls = 0
		if perSecond > publishPart*b.allowance.PerSecond && b.key.member != overflowMember {
			result[b.key.service] = append(result[b.key.service], &pb.Usage{
				Route: b.key.route, Member: b.key.member, CallsPerSecond: perSecond,
			})
		}
	}
	return result
}

// applyShares takes the shares that a distributor returned. A share never
// exceeds the allowance.
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
		part := 1.0
		if b.allowance.PerSecond > 0 {
			part = perSecond / b.allowance.PerSecond
		}
		b.shareUntil = now.Add(shareLifetime)
		b.limiter.SetLimitAt(now, rate.Limit(perSecond))
		b.limiter.SetBurstAt(now, max(1, int(part*float64(burst(b.allowance)))))
	}
}
