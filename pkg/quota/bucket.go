package quota

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// lot is a number of permits that lapse at the same time.
type lot struct {
	lapse clock.Instant
	count int
}

// bucket is the token bucket of a workspace. The sum of its tokens and the permits
// that have been granted and have not lapsed never exceeds the capacity. The permits
// that can be used within a window are therefore at most the capacity and what the
// rate adds in the window.
type bucket struct {
	fill        Limit   // rate and capacity in effect since the last call
	base        float64 // tokens below which no spare permits are granted: the burst
	tokens      float64
	at          clock.Instant          // of tokens
	outstanding int                    // permits in lots
	lots        [len(validities)][]lot // by validity, each ordered by lapse
	refused     float64                // permits that were refused and may be requested again
	usedAt      clock.Instant
	answers     map[string]answer // last answer by daemon
}

// answer is the answer to the last request of a daemon.
type answer struct {
	grant *pb.PermitGrant
	at    clock.Instant
}

// setFill adds the tokens since the last call and changes the rate and the capacity.
func (b *bucket) setFill(now clock.Instant, fill Limit, base float64) {
	b.refill(now, b.fill)
	b.fill, b.base = fill, base
	b.refill(now, fill)
}

// refill adds the tokens since the last call. While permits are outstanding, tokens
// are added only up to the rest of the capacity.
func (b *bucket) refill(now clock.Instant, l Limit) {
	for {
		class, ok := b.nextLapse()
		if !ok || b.lots[class][0].lapse > now {
			break
		}
		b.add(b.lots[class][0].lapse, l)
		b.outstanding -= b.lots[class][0].count
		b.lots[class] = b.lots[class][1:]
	}
	b.add(now, l)
}

// nextLapse returns the index of the lots with the permits that lapse next.
func (b *bucket) nextLapse() (class int, ok bool) {
	for i, lots := range b.lots {
		if len(lots) > 0 && (!ok || lots[0].lapse < b.lots[class][0].lapse) {
			class, ok = i, true
		}
	}
	return class, ok
}

// add adds the tokens until an instant.
func (b *bucket) add(now clock.Instant, l Limit) {
	passed := max(0, now.Sub(b.at)).Seconds()
	b.tokens = max(0, min(b.tokens+l.Rate*passed, l.Burst-float64(b.outstanding)))
	b.refused = max(0, b.refused-returnShare*l.Rate*passed)
	b.at = max(b.at, now)
}

// lapseStep is the precision of the lapse of outstanding permits. It bounds the number
// of lots of a bucket.
const lapseStep = 20 * time.Millisecond

// take takes permits with one of the validities from the bucket.
func (b *bucket) take(now clock.Instant, count, class int) {
	b.tokens -= float64(count)
	b.outstanding += count
	step := clock.Instant(lapseStep)
	at := (now.Add(validities[class].lapse) + step - 1) / step * step
	lots := b.lots[class]
	if n := len(lots); n > 0 && lots[n-1].lapse == at {
		lots[n-1].count += count
		return
	}
	b.lots[class] = append(lots, lot{at, count})
}

// nextToken returns the time until the bucket has a whole token.
func (b *bucket) nextToken() time.Duration {
	c := *b // refill does not change the lots themselves
	for {
		class, ok := c.nextLapse()
		ready := c.at.Add(time.Duration((1 - c.tokens) / c.fill.Rate * float64(time.Second)))
		hasRoom := c.fill.Burst-float64(c.outstanding) >= 1
		switch {
		case hasRoom && (!ok || ready <= c.lots[class][0].lapse):
			return max(0, ready.Sub(b.at))
		case !ok:
			return maxRetryAfter
		}
		c.refill(c.lots[class][0].lapse, c.fill)
	}
}
