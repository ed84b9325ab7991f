package daemon

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
)

// shareSamples is the number of points at which Shares asks for a version.
const shareSamples = 1000

// versions divides calls between the versions of a move and records the
// outcomes as evidence.
type versions struct {
	name, domain string
	member       *domain.Member
	chooser      *move.Chooser

	mu        sync.RWMutex
	recorders map[string]*move.Recorder
	bundles   map[string]*config.Bundle // as given to the chooser; used by refresh only
}

func newVersions(name, domainName string, member *domain.Member) *versions {
	return &versions{
		name: name, domain: domainName, member: member,
		chooser:   move.NewChooser(time.Now()),
		recorders: map[string]*move.Recorder{},
		bundles:   map[string]*config.Bundle{},
	}
}

// Choose implements route.VersionChooser.
func (v *versions) Choose(bundle *config.Bundle, r *config.Route, call *route.Call) route.Choice {
	point := rand.Float64()
	if !r.Idempotent && call.Key != "" {
		point = pointOf(call.Key)
	}
	choice := v.chooser.Choose(bundle.Service.Name, r.Idempotent, point, time.Now())
	if choice.Version == "" {
		choice.Version = bundle.Service.Version // no plan yet for a bundle that just arrived
	}
	return route.Choice{Version: choice.Version, MaxTargets: choice.MaxTargets}
}

// pointOf maps a key to [0,1), so that a key keeps its version while the share
// does not pass its point.
func pointOf(key string) float64 {
	return float64(xxhash.Sum64String(key)>>11) / (1 << 53)
}

// Shares implements route.VersionChooser.
func (v *versions) Shares(bundle *config.Bundle, r *config.Route) map[string]float64 {
	shares := map[string]float64{}
	for i := range shareSamples {
		point := (float64(i) + 0.5) / shareSamples
		choice := v.chooser.Choose(bundle.Service.Name, r.Idempotent, point, time.Now())
		shares[choice.Version] += 1.0 / shareSamples
	}
	return shares
}

// Report implements route.VersionChooser.
func (v *versions) Report(bundle *config.Bundle, r *config.Route, attempt route.Attempt) {
	outcome := outcomeOf(attempt)
	v.chooser.Report(bundle.Service.Name, attempt.Version, outcome, time.Now())
	if recorder := v.recorder(bundle.Service.Name); recorder != nil {
		latency := attempt.Latency
		if !attempt.Idempotent && attempt.TargetTime > 0 {
			// A keyed call may pass through its home, which says nothing about
			// the version.
			latency = attempt.TargetTime
		}
		recorder.Record(r.Name, attempt.Version, outcome, latency)
	}
}

func (v *versions) recorder(service string) *move.Recorder {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.recorders[service]
}

// outcomeOf says what an attempt tells about its version.
func outcomeOf(a route.Attempt) move.Outcome {
	switch {
	case a.Explained || a.Cancelled || !a.Warm:
		return move.OutcomeExcluded
	case a.Crashed:
		return move.OutcomeCrashed
	case a.Outcome == pb.Outcome_OUTCOME_NOT_RUN, a.Outcome == pb.Outcome_OUTCOME_BAD_REQUEST:
		return move.OutcomeExcluded
	case a.Outcome != pb.Outcome_OUTCOME_ANSWERED || a.Status >= http.StatusInternalServerError:
		return move.OutcomeFailed
	default:
		return move.OutcomeOK
	}
}

// refresh hands new bundles, and grants, to the chooser.
func (v *versions) refresh() {
	snapshot := v.member.Snapshot()
	if snapshot == nil {
		return
	}
	now := time.Now()
	for service := range snapshot.Manifest().Entries {
		bundle, ok := snapshot.Bundle(service)
		if !ok {
			continue
		}
		v.refreshBundle(bundle)
		for _, record := range v.member.Table().Records(pb.RecordKind_RECORD_GRANT, service) {
			v.chooser.Apply(record, now)
		}
		v.recorder(service).Update(bundle, v.chooser.Active(service))
	}
}

func (v *versions) refreshBundle(bundle *config.Bundle) {
	name := bundle.Service.Name
	v.mu.Lock()
	if v.recorders[name] == nil {
		v.recorders[name] = move.NewRecorder(name, v.domain, v.name, v.member.Incarnation())
	}
	v.mu.Unlock()
	// SetBundle copies the plans of every service, and refresh runs at each
	// change of a record.
	if v.bundles[name] != bundle {
		v.bundles[name] = bundle
		v.chooser.SetBundle(bundle)
	}
}

func (v *versions) publish() {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for _, recorder := range v.recorders {
		for _, record := range recorder.Records() {
			v.member.Publish(record)
		}
	}
}
