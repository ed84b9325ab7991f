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

// shareSamples is the number of points at which Shares samples the chooser.
const shareSamples = 1000

// versionSelector divides calls between the versions of a move and records the
// outcomes of attempts as evidence.
type versionSelector struct {
	name, domain string
	member       *domain.Member
	chooser      *move.Chooser

	mu        sync.RWMutex
	recorders map[string]*move.Recorder
	bundles   map[string]*config.Bundle // last bundles passed to the chooser; used by update only
}

func newVersionSelector(name, domainName string, member *domain.Member) *versionSelector {
	return &versionSelector{
		name: name, domain: domainName, member: member,
		chooser:   move.NewChooser(time.Now()),
		recorders: map[string]*move.Recorder{},
		bundles:   map[string]*config.Bundle{},
	}
}

// Choose implements route.VersionChooser.
func (v *versionSelector) Choose(bundle *config.Bundle, r *config.Route, call *route.Call) route.Choice {
	point := rand.Float64()
	if !r.Idempotent && call.Key != "" {
		point = hashPoint(call.Key)
	}
	choice := v.chooser.Choose(bundle.Service.Name, r.Idempotent, point, time.Now())
	if choice.Version == "" {
		choice.Version = bundle.Service.Version // the chooser has no plan for a new bundle yet
	}
	return route.Choice{Version: choice.Version, MaxTargets: choice.MaxTargets}
}

// hashPoint maps a key to [0,1). A key keeps its version until the share crosses
// its point.
func hashPoint(key string) float64 {
	return float64(xxhash.Sum64String(key)>>11) / (1 << 53)
}

// Shares implements route.VersionChooser.
func (v *versionSelector) Shares(bundle *config.Bundle, r *config.Route) map[string]float64 {
	shares := map[string]float64{}
	for i := range shareSamples {
		point := (float64(i) + 0.5) / shareSamples
		choice := v.chooser.Choose(bundle.Service.Name, r.Idempotent, point, time.Now())
		shares[choice.Version] += 1.0 / shareSamples
	}
	return shares
}

// Report implements route.VersionChooser.
func (v *versionSelector) Report(bundle *config.Bundle, r *config.Route, attempt route.Attempt) {
	outcome := outcomeOf(attempt)
	v.chooser.Report(bundle.Service.Name, attempt.Version, outcome, time.Now())
	if recorder := v.recorder(bundle.Service.Name); recorder != nil {
		latency := attempt.Latency
		if !attempt.Idempotent && attempt.TargetTime > 0 {
			// The latency of a keyed call may include forwarding by its home,
			// which is unrelated to the version.
			latency = attempt.TargetTime
		}
		recorder.Record(r.Name, attempt.Version, outcome, latency)
	}
}

func (v *versionSelector) recorder(service string) *move.Recorder {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.recorders[service]
}

// outcomeOf classifies an attempt as evidence about its version.
func outcomeOf(attempt route.Attempt) move.Outcome {
	switch {
	case attempt.Explained || attempt.Cancelled || !attempt.Warm:
		return move.OutcomeExcluded
	case attempt.Crashed:
		return move.OutcomeCrashed
	case attempt.Outcome == pb.Outcome_OUTCOME_NOT_RUN, attempt.Outcome == pb.Outcome_OUTCOME_BAD_REQUEST:
		return move.OutcomeExcluded
	case attempt.Outcome != pb.Outcome_OUTCOME_ANSWERED || attempt.Status >= http.StatusInternalServerError:
		return move.OutcomeFailed
	default:
		return move.OutcomeOK
	}
}

// update passes new bundles and the current grants to the chooser.
func (v *versionSelector) update() {
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
		v.updateBundle(bundle)
		for _, record := range v.member.Table().Records(pb.RecordKind_RECORD_GRANT, service) {
			v.chooser.Apply(record, now)
		}
		v.recorder(service).Update(bundle, v.chooser.Active(service))
	}
}

func (v *versionSelector) updateBundle(bundle *config.Bundle) {
	name := bundle.Service.Name
	v.mu.Lock()
	if v.recorders[name] == nil {
		v.recorders[name] = move.NewRecorder(name, v.domain, v.name, v.member.Incarnation())
	}
	v.mu.Unlock()
	// SetBundle copies the plans of all services, and update runs at every change
	// of a record, so unchanged bundles are skipped.
	if v.bundles[name] != bundle {
		v.bundles[name] = bundle
		v.chooser.SetBundle(bundle)
	}
}

// publishEvidence publishes the evidence records of all services.
func (v *versionSelector) publishEvidence() {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for _, recorder := range v.recorders {
		for _, record := range recorder.Records() {
			v.member.Publish(record)
		}
	}
}
