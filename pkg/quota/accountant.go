package quota

import (
	"math"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// longLapse is the longest validity of permits. It is shorter than the time in which
	// all daemons apply a new configuration (2.5 s), so that a lowered limit binds then.
	longLapse = 2 * time.Second
	// bucketIdle is the time without requests after which a bucket is removed. It is
	// longer than any window and any lapse, so that a new one may be full.
	bucketIdle = viewRetention
	// answerAge is the time for which the answer to a request is kept.
	answerAge = time.Second
)

// shortLapse is the validity of permits that are granted without spare ones. They are
// used at once; a longer one would occupy more of the capacity.
const shortLapse = 100 * time.Millisecond

// validities are the validities of permits, by the part of the room for long permits
// that is occupied. Longer ones save datagrams, but occupy the room for longer.
var validities = [...]struct {
	occupied float64
	lapse    time.Duration
}{{1. / 3, longLapse}, {2. / 3, time.Second}, {1, 400 * time.Millisecond}, {math.Inf(1), shortLapse}}

// shortClass is the index of shortLapse.
const shortClass = len(validities) - 1

// class returns the index of the validity of spare permits that are granted now, and
// how many permits may get it.
func (b *bucket) class() (class, most int) {
	long := b.outstanding
	for _, l := range b.lots[shortClass] {
		long -= l.count
	}
	room := b.longRoom()
	for i, v := range validities[:shortClass] {
		if float64(long) < v.occupied*room {
			return i, int(room) - long
		}
	}
	return shortClass, 0
}

// longRoom returns the number of permits that may be outstanding for longer than
// shortLapse. The rest of the capacity is enough for the burst and for the rate while
// short permits are outstanding, so that long permits cause no refusals.
func (b *bucket) longRoom() float64 {
	return b.fill.Burst - b.base - b.fill.Rate*(shortLapse+lapseStep).Seconds()
}

// Accountant grants permits to the daemons of the fleet. It is safe for concurrent
// use.
type Accountant struct {
	bounds  Bounds
	members *Members

	mu      sync.Mutex
	buckets map[string]*bucket
	sweptAt clock.Instant
}

// NewAccountant returns an Accountant without buckets.
func NewAccountant(bounds Bounds, members *Members) *Accountant {
	return &Accountant{bounds: bounds, members: members, buckets: make(map[string]*bucket)}
}

// Grant answers a request of a daemon. A grant of no permits without a time to retry
// says that the local daemon cannot decide. Grant returns nil for a late duplicate.
func (a *Accountant) Grant(now clock.Instant, from string, request *pb.PermitRequest, limit Limit) *pb.PermitGrant {
	role, since := a.members.role(now, request.GetWorkspace())
	share := a.members.Share(now)
	if role == noRole || share == 0 {
		return &pb.PermitGrant{Workspace: request.GetWorkspace(), Sequence: request.GetSequence()}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	fill := a.fill(role, limit, share)
	b := a.bucket(now, request.GetWorkspace(), role, since, fill)
	b.setFill(now, fill, limit.Burst*share)
	b.usedAt = now
	if last, ok := b.answers[from]; ok && request.GetSequence() <= last.grant.GetSequence() {
		if request.GetSequence() == last.grant.GetSequence() {
			return last.grant
		}
		return nil
	}
	grant := b.grant(now, request)
	if role == reserving && grant.GetGranted() == 0 {
		grant.RetryAfterMs = 0
	}
	b.answers[from] = answer{grant, now}
	a.sweep(now)
	return grant
}

// fill returns the rate and the capacity of a bucket.
func (a *Accountant) fill(role role, limit Limit, share float64) Limit {
	fill := Limit{Rate: limit.Rate, Burst: a.bounds.capacity(limit)}
	if role == reserving {
		fill = a.bounds.reserve(limit)
	}
	return Limit{Rate: fill.Rate * share, Burst: fill.Burst * share}
}

// bucket returns the bucket of a workspace. A new one has what would have been added
// since the daemon has its role.
func (a *Accountant) bucket(now clock.Instant, workspace string, role role, since time.Duration, fill Limit) *bucket {
	b := a.buckets[workspace]
	if b != nil {
		return b
	}
	b = &bucket{fill: fill, at: now, answers: make(map[string]answer)}
	b.tokens = min(fill.Burst, fill.Rate*since.Seconds())
	if since >= bucketIdle || role == reserving && since >= a.bounds.Window {
		b.tokens = fill.Burst
	}
	a.buckets[workspace] = b
	return b
}

// grant decides a request.
func (b *bucket) grant(now clock.Instant, request *pb.PermitRequest) *pb.PermitGrant {
	grant := &pb.PermitGrant{Workspace: request.GetWorkspace(), Sequence: request.GetSequence()}
	needed, spare := unpackWanted(request.GetWanted())
	available := int(b.tokens)
	if available == 0 {
		grant.RetryAfterMs = b.refuse(needed)
		return grant
	}
	count, class := min(needed, available), shortClass
	longClass, most := b.class()
	if more := min(spare, int(b.tokens-b.base)-count, most-count); more > 0 {
		count, class = count+more, longClass
	}
	if count == 0 {
		grant.RetryAfterMs = 1 // no spare permits are available
		return grant
	}
	b.take(now, count, class)
	grant.Granted, grant.LapseMs = uint32(count), uint32(validities[class].lapse.Milliseconds())
	return grant
}

// refuse records refused permits and returns the time in milliseconds until the bucket
// can serve them, if those that were refused before are requested again first.
func (b *bucket) refuse(wanted int) uint32 {
	if b.fill.Rate <= 0 {
		return uint32(maxRetryAfter.Milliseconds())
	}
	wait := b.nextToken().Seconds() + b.refused/b.fill.Rate
	b.refused = min(b.refused+float64(wanted), maxRetryAfter.Seconds()*b.fill.Rate)
	return uint32(max(1, min(math.Ceil(wait*1000), float64(maxRetryAfter.Milliseconds()))))
}

const (
	// maxRetryAfter bounds the time after which a refused request is to be repeated.
	maxRetryAfter = 10 * time.Second
	// returnShare is the part of the rate that is expected to be left for repeated
	// requests, as limits are about 1.6 times the usual demand.
	returnShare = 0.4
)

// PermitRequest.wanted has the permits for waiting requests in its lower 16 bits and
// the spare ones above them.
const wantedBits = 16

func packWanted(needed, spare int) uint32 {
	return uint32(min(needed, 1<<wantedBits-1) | min(spare, maxSpare)<<wantedBits)
}

func unpackWanted(wanted uint32) (needed, spare int) {
	return int(wanted & (1<<wantedBits - 1)), int(min(wanted>>wantedBits, maxSpare))
}

// sweep removes old answers and buckets that have not been used for bucketIdle.
func (a *Accountant) sweep(now clock.Instant) {
	if now.Sub(a.sweptAt) < answerAge {
		return
	}
	a.sweptAt = now
	for workspace, b := range a.buckets {
		for from, answer := range b.answers {
			if now.Sub(answer.at) > answerAge {
				delete(b.answers, from)
			}
		}
		if now.Sub(b.usedAt) > bucketIdle {
			delete(a.buckets, workspace)
		}
	}
}
