package route

import (
	"cmp"
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Explanation describes how a call with a given host, path and method would be
// routed.
type Explanation struct {
	ConfigVersion uint64              `json:"configVersion"`
	Matched       bool                `json:"matched"`
	Reason        string              `json:"reason,omitempty"` // why no route matched
	Unsubscribed  []string            `json:"unsubscribed,omitempty"`
	Service       string              `json:"service,omitempty"`
	Route         string              `json:"route,omitempty"`
	Idempotent    bool                `json:"idempotent"`
	Deadline      config.Duration     `json:"deadline"`
	Attempts      int                 `json:"attempts"`
	Shares        map[string]float64  `json:"shares,omitempty"` // by version
	Targets       []TargetExplanation `json:"targets"`
}

// TargetExplanation describes whether an endpoint may be selected, and why.
type TargetExplanation struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	Domain     string  `json:"domain"`
	Version    string  `json:"version"`
	Candidate  bool    `json:"candidate"`
	Reason     string  `json:"reason"`
	Share      float64 `json:"share"` // fraction of the route's calls that go to the version
	Near       bool    `json:"near"`
	Slots      int     `json:"slots"`
	Busy       float64 `json:"busy"` // estimated
	InFlight   int     `json:"inFlight"`
	Ramp       float64 `json:"ramp"`
	Failures   float64 `json:"failures"`
	LatencyMS  float64 `json:"latencyMs"`
	SetAsideMS int64   `json:"setAsideMs"`
}

// Explain returns how a call would be routed, and why. It sends no attempt and
// subscribes to no service.
func (r *Router) Explain(host, path, method string) Explanation {
	snapshot := r.options.Config.Current()
	m := snapshot.Match(host, path, method)
	e := Explanation{ConfigVersion: snapshot.Version(), Targets: []TargetExplanation{}, Unsubscribed: m.Unsubscribed}
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

func (b *balancer) explain(service *config.Service, endpoints []*pb.Endpoint, shares map[string]float64, now time.Time) []TargetExplanation {
	s := b.lockState(service.Name, endpoints, now)
	defer s.mu.Unlock()
	explained := make([]TargetExplanation, 0, len(endpoints))
	for _, e := range endpoints {
		explanation := TargetExplanation{
			Name: e.GetName(), Address: e.GetAddress(), Domain: e.GetDomain(), Version: e.GetVersion(),
			Share: shares[e.GetVersion()], Near: e.GetDomain() == b.domain, Slots: int(e.GetSlots()),
		}
		t := s.targets[e.GetName()]
		if t != nil && t.endpoint == e {
			explanation.Busy, explanation.InFlight, explanation.Slots = t.busy(now), t.inFlight, int(t.slots())
			explanation.Ramp, explanation.Failures, explanation.LatencyMS = t.ramp(now, time.Duration(service.ColdStart)), t.failures, t.latency*1000
			explanation.SetAsideMS = max(0, t.setAsideUntil.Sub(now).Milliseconds())
		}
		explanation.Candidate, explanation.Reason = s.reason(e, t, explanation.Share, now)
		explained = append(explained, explanation)
	}
	slices.SortStableFunc(explained, func(a, b TargetExplanation) int {
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

// reason returns whether an endpoint is a candidate for idempotent calls, and why.
// Calls with a key are not restricted to these candidates: their home may be any
// ready endpoint.
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
	case t.unreachable:
		return false, "set aside: it could not be reached or refused"
	}
	return false, "set aside: its attempts failed"
}
