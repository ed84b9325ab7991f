package balance

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
)

const (
	// crossDomainCostPerKB is the expected time that a target of another failure domain
	// must save for each KB of traffic, which is billed.
	crossDomainCostPerKB = 3 * time.Millisecond
	// nearShare is the fraction of the latency objective within which a target of the
	// own failure domain is used even if one of another domain would be faster. A
	// response within the objective is worth the same whether it comes early or late;
	// the rest of the objective covers the variance of run times.
	nearShare = 0.5
	// spillShare is the fraction of the latency objective that a target of another
	// failure domain must save otherwise.
	spillShare = 0.25
	// roomLoad is the average load of the targets of another domain, relative to their
	// slots, below which requests may go there. Above it a request would mostly find
	// the slots in use, since the known loads are up to a second old.
	roomLoad = 0.7
	// fullDomainPause is the time for which no request goes to another domain after one
	// of its targets refused a request for its queue. Published loads are up to a second
	// old: 88% of the requests that followed them were refused as well.
	fullDomainPause = 500 * time.Millisecond
	// minTargetsInCommon is the number of targets from which the failures of most of
	// them are taken to have a common cause.
	minTargetsInCommon = 3
)

// candidate is an endpoint with the expected response time of a request.
type candidate struct {
	endpoint *Endpoint
	time     float64 // in nanoseconds
	full     bool    // the request would wait too long for a slot
	load     float64 // running and waiting requests relative to the slots

	run, wait, network float64 // parts of time, in nanoseconds
}

// domainKey identifies the targets of a service in one failure domain.
type domainKey struct{ service, domain string }

// recordRefusal records that a target of another domain refused a request for its queue.
func (b *Balancer) recordRefusal(e *Endpoint, now time.Time) {
	if !e.SameDomain {
		b.fullUntil[domainKey{e.Service, e.Domain}] = now.Add(fullDomainPause)
	}
}

// domainOption is the best endpoint of one failure domain.
type domainOption struct {
	service string
	domain  string
	best    candidate // without an endpoint if all have been attempted or are paused
	loads   float64   // sum over the targets in use
	targets int       // in use: available and not paused
	full    bool      // a target refused a request lately
}

// add adds a target in use. It is not a candidate if it has been attempted.
func (d *domainOption) add(c *candidate, attempted bool) {
	d.loads += c.load
	d.targets++
	if !attempted && (d.best.endpoint == nil || c.time < d.best.time) {
		d.best = *c
	}
}

// hasRoom reports whether a target of the domain is likely to have a free slot.
func (d *domainOption) hasRoom() bool { return !d.full && d.loads < roomLoad*float64(d.targets) }

// options are the endpoints among which a request may choose.
type options struct {
	near     domainOption
	far      []domainOption
	paused   *Endpoint // whose pause ends first
	pauseEnd time.Time
	reason   Reason // of the choice among the domains
}

// domain returns the option of the failure domain of an endpoint.
func (o *options) domain(e *Endpoint) *domainOption {
	if e.SameDomain {
		return &o.near
	}
	for i := range o.far {
		if o.far[i].domain == e.Domain {
			return &o.far[i]
		}
	}
	o.far = append(o.far, domainOption{service: e.Service, domain: e.Domain})
	return &o.far[len(o.far)-1]
}

// collect evaluates the available endpoints.
func (b *Balancer) collect(request *attempt.Request, endpoints []*Endpoint, attempted map[string]bool, now time.Time) options {
	var o options
	ignorePauses := b.mostArePaused(endpoints, now)
	for _, e := range endpoints {
		if !e.Available {
			continue
		}
		s := b.statsFor(e.Target)
		if s.pausedUntil.After(now) && (s.unresponsive || !ignorePauses) {
			if !attempted[e.Target] && (o.paused == nil || s.pausedUntil.Before(o.pauseEnd)) {
				o.paused, o.pauseEnd = e, s.pausedUntil
			}
			continue
		}
		c := b.evaluate(e, s, request, now)
		if b.evaluated != nil {
			*b.evaluated = append(*b.evaluated, c)
		}
		o.domain(e).add(&c, attempted[e.Target])
	}
	for i := range o.far {
		d := &o.far[i]
		d.full = now.Before(b.fullUntil[domainKey{d.service, d.domain}])
	}
	return o
}

// mostArePaused reports whether most of the available targets of the own domain are
// paused. Their failures then have a common cause, and the remaining ones would get more
// than they can run.
func (b *Balancer) mostArePaused(endpoints []*Endpoint, now time.Time) bool {
	available, paused := 0, 0
	for _, e := range endpoints {
		if !e.Available || !e.SameDomain {
			continue
		}
		available++
		if s := b.stats[e.Target]; s != nil && s.pausedUntil.After(now) {
			paused++
		}
	}
	return available >= minTargetsInCommon && paused*2 > available
}

// chooseDomain returns the endpoint to use. Traffic between failure domains is billed,
// so the own domain is used while its targets can be expected to respond within the
// latency objective. What exceeds its room goes to other domains that have room, and is
// refused otherwise. A domain without targets in use depends on the others.
func (b *Balancer) chooseDomain(o *options, request *attempt.Request) *Endpoint {
	depends := o.near.targets == 0
	far := o.bestFar(depends)
	switch near := &o.near.best; {
	case near.endpoint == nil && far != nil:
		o.reason = otherDomainReason(far)
		return far.endpoint
	case near.endpoint == nil && depends:
		o.reason = pausedReason(o.paused)
		return o.paused
	case far != nil && b.prefersFar(near, far, request):
		o.reason = spillReason(near)
		return far.endpoint
	default:
		o.reason = ownDomainReason(near)
		return near.endpoint
	}
}

// bestFar returns the best candidate of the other domains with room, or of all of them,
// nil if there is none.
func (o *options) bestFar(all bool) *candidate {
	var best *candidate
	for i := range o.far {
		d := &o.far[i]
		if d.best.endpoint == nil || !all && (d.best.full || !d.hasRoom()) {
			continue
		}
		if best == nil || d.best.time < best.time {
			best = &d.best
		}
	}
	return best
}

// prefersFar reports whether a candidate of another domain is worth the traffic between
// domains.
func (b *Balancer) prefersFar(near, far *candidate, request *attempt.Request) bool {
	if near.full {
		return true
	}
	if near.time <= nearShare*float64(request.Objective-request.Age) {
		return false
	}
	kb := b.responseKB[request.Route] + headersKB
	needed := max(kb*float64(crossDomainCostPerKB), spillShare*float64(request.Objective))
	return near.time-far.time > needed
}
