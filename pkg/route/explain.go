package route

import (
	"cmp"
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Explanation says where a call with a given host, path and method would go.
type Explanation struct {
	ConfigVersion uint64             `json:"configVersion"`
	Matched       bool               `json:"matched"`
	Reason        string             `json:"reason,omitempty"` // why no route matched
	Unsubscribed  []string           `json:"unsubscribed,omitempty"`
	Service       string             `json:"service,omitempty"`
	Route         string             `json:"route,omitempty"`
	Idempotent    bool               `json:"idempotent"`
	Deadline      config.Duration    `json:"deadline"`
	Attempts      int                `json:"attempts"`
	Shares        map[string]float64 `json:"shares,omitempty"` // by version
	Targets       []TargetExplained  `json:"targets"`
}

// TargetExplained says why an endpoint may or may not be chosen.
type TargetExplained struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	Domain     string  `json:"domain"`
	Version    string  `json:"version"`
	Candidate  bool    `json:"candidate"`
	Reason     string  `json:"reason"`
	Share      float64 `json:"share"` // of the route's calls that go to its version
	Near       bool    `json:"near"`
	Slots      int     `json:"slots"`
	Busy       float64 `json:"busy"` // estimated
	InFlight   int     `json:"inFlight"`
	Ramp       float64 `json:"ramp"`
	Failures   float64 `json:"failures"`
	LatencyMS  float64 `json:"latencyMs"`
	SetAsideMS int64   `json:"setAsideMs"`
}

// Explain says where a call would go, and why. It sends nothing and subscribes
// to nothing.
func (r *Router) Explain(host, path, method string) Explanation {
	snapshot := r.options.Config.Current()
	m := snapshot.Match(host, path, method)
	e := Explanation{ConfigVersion: snapshot.Version(), Targets: []TargetExplained{}, Unsubscribed: m.Unsubscribed}
	switch {
	case len(m.Unsubscribed) > 0:
		e.Reason = "services of this host are not subscribed to yet; the first call does it"
	case m.MethodMismatch && m.Route == nil:
		e.Reason = "host and path match, but no route has the method"
	case m.Route == nil:
		e.Reason = "no route has the host and path"
	}
	if m.Route == nil {
		return e
	}
	e.Matched, e.Service, e.Route = true, m.Bundle.Service.Name, m.Route.Name
	e.Idempotent, e.Deadline, e.Attempts = m.Route.Idempotent, m.Route.Deadline, defaultAttempts
	if m.Route.Retry != nil {
		e.Attempts = m.Route.Retry.Attempts
	}
	e.Shares = r.options.Versions.Shares(m.Bundle, m.Route)
	endpoints := r.options.Endpoints.Endpoints(e.Service)
	e.Targets = r.balancer.explain(&m.Bundle.Service, endpoints, e.Shares, time.Now())
	return e
}

func (b *balancer) explain(service *config.Service, endpoints []*pb.Endpoint, shares map[string]float64, now time.Time) []TargetExplained {
	s := b.state(service.Name, endpoints, now)
	defer s.mu.Unlock()
	explained := make([]TargetExplained, 0, len(endpoints))
	for _, e := range endpoints {
		x := TargetExplained{
			Name: e.GetName(), Address: e.GetAddress(), Domain: e.GetDomain(), Version: e.GetVersion(),
			Share: shares[e.GetVersion()], Near: e.GetDomain() == b.domain, Slots: int(e.GetSlots()),
		}
		t := s.targets[e.GetName()]
		if t != nil && t.endpoint == e {
			x.Busy, x.InFlight, x.Slots = t.busy(now), t.inFlight, int(t.slots())
			x.Ramp, x.Failures, x.LatencyMS = t.ramp(now, time.Duration(service.ColdStart)), t.failures, t.latency*1000
			x.SetAsideMS = max(0, t.setAsideUntil.Sub(now).Milliseconds())
		}
		x.Candidate, x.Reason = s.reason(e, t, x.Share, now)
		explained = append(explained, x)
	}
	slices.SortStableFunc(explained, func(a, b TargetExplained) int {
		if a.Candidate != b.Candidate {
			if a.Candidate {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return explained
}

// reason says why an endpoint is a candidate for idempotent calls or not. The
// home of a key is chosen over all ready endpoints.
func (s *serviceState) reason(e *pb.Endpoint, t *targetState, share float64, now time.Time) (bool, string) {
	switch {
	case e.GetDepartedMs() != 0:
		return false, "departed; still the home of earlier keys"
	case e.GetState() == pb.EndpointState_ENDPOINT_LEAVING:
		return false, "leaving"
	case e.GetState() != pb.EndpointState_ENDPOINT_READY:
		return false, "target is down"
	case !slices.Contains(s.subset, t):
		return false, "outside this daemon's subset; used for keys that have it as home"
	case share <= 0:
		return false, "its version has no share"
	}
	switch ok, probe := t.available(now); {
	case ok && probe:
		return true, "set aside before; the next call probes it"
	case ok:
		return true, "in the subset"
	case t.hard:
		return false, "set aside: it could not be reached or refused"
	}
	return false, "set aside: its attempts failed"
}
