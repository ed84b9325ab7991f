// Package keyhome determines the home of an idempotency key, which is the one
// daemon that stores the key's record. Callers and targets both use it, each with
// the service's endpoints that are known locally.
package keyhome

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/google/uuid"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// ClockSkewAllowance is the tolerated difference between the clock in a key's
	// creation time and the clocks in the times of endpoint records.
	ClockSkewAllowance = time.Second
	// DepartedRetention is the time for which a departed endpoint remains a
	// candidate. A key older than this may have been executed at an endpoint whose
	// entry has been removed.
	DepartedRetention = 10 * time.Minute
	// KeyLifetime is the age after which a key is never executed.
	KeyLifetime = time.Hour
	// noneEligibleRetryAfter is the suggested retry delay while no endpoint is
	// eligible.
	noneEligibleRetryAfter = time.Second
)

// Status determines whether and where a request with a key may be executed.
type Status int

// Statuses of a key.
const (
	// Found: Result.Endpoint is the home and may execute the key.
	Found Status = iota
	// LookupOnly: Result.Endpoint may have the key's record, but the endpoint that
	// first executed the key may have departed. Result.Endpoint answers from its
	// record and never executes the key.
	LookupOnly
	// Departed: the home has departed. The outcome is unknown and the key is not
	// executed.
	Departed
	// NoneEligible: no endpoint is eligible yet. The key is not executed and can be
	// retried later.
	NoneEligible
	// Expired: the key is older than KeyLifetime. The outcome is unknown.
	Expired
	// FromFuture: the key's creation time is ahead of the local clock by more than
	// ClockSkewAllowance. The caller's request is invalid, because an endpoint that
	// joins later could become the home of the key.
	FromFuture
)

// String returns the text of the status for logs and reasons.
func (s Status) String() string {
	return [...]string{
		"found", "lookup only", "home departed", "no endpoint eligible", "key expired", "key dated in the future",
	}[s]
}

// Result is the home of a key, or the reason why there is none.
type Result struct {
	Status   Status
	Endpoint *pb.Endpoint // for Found, LookupOnly and Departed
	// RetryAfter is set for NoneEligible.
	RetryAfter time.Duration
}

// CreatedMS returns the creation time of a key in Unix milliseconds. It is the time
// in a version 7 UUID, and 0 (unknown) for any other key.
func CreatedMS(key string) int64 {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds).UnixMilli()
}

// Home determines the home of a key among the endpoints of one service. The
// endpoints contain several entries with one name if a daemon departed and
// returned. Departed entries must be retained for DepartedRetention. A createdMS of
// 0 means that the creation time is unknown.
func Home(key string, createdMS int64, endpoints []*pb.Endpoint, now time.Time) Result {
	nowMS := now.UnixMilli()
	if createdMS == 0 {
		return homeUndated(key, endpoints, nowMS)
	}
	ageMS := nowMS - createdMS
	if ageMS > KeyLifetime.Milliseconds() {
		return Result{Status: Expired}
	}
	if -ageMS > ClockSkewAllowance.Milliseconds() {
		return Result{Status: FromFuture}
	}
	home := selectHome(key, endpoints, func(e *pb.Endpoint) bool { return eligibleAt(e, createdMS) && retained(e, nowMS) })
	result := resolve(home, endpoints)
	if result.Status == Found && ageMS >= DepartedRetention.Milliseconds() {
		result.Status = LookupOnly
	}
	return result
}

// homeUndated determines the home of a key without a creation time. It is selected
// among all endpoints that are eligible now. For DepartedRetention after an
// endpoint has joined, the keys that move to it are only looked up at their
// previous home, since they may have been executed there.
func homeUndated(key string, endpoints []*pb.Endpoint, nowMS int64) Result {
	eligibleNow := func(e *pb.Endpoint) bool {
		return e.GetEligibleSinceMs()+ClockSkewAllowance.Milliseconds() <= nowMS && retained(e, nowMS)
	}
	home := selectHome(key, endpoints, eligibleNow)
	result := resolve(home, endpoints)
	if result.Status != Found {
		return result
	}
	joined := home.GetEligibleSinceMs()
	if joined+(ClockSkewAllowance+DepartedRetention).Milliseconds() <= nowMS {
		return result
	}
	previousHome := selectHome(key, endpoints, func(e *pb.Endpoint) bool {
		return eligibleNow(e) && e.GetEligibleSinceMs() < joined
	})
	if previousHome == nil {
		return result
	}
	result = resolve(previousHome, endpoints)
	if result.Status == Found {
		result.Status = LookupOnly
	}
	return result
}

// eligibleAt reports whether the endpoint was eligible as the home of keys created
// at the given time. A key created after the departure of an endpoint cannot have
// been executed there.
func eligibleAt(e *pb.Endpoint, createdMS int64) bool {
	if e.GetEligibleSinceMs()+ClockSkewAllowance.Milliseconds() > createdMS {
		return false
	}
	return e.GetDepartedMs() == 0 || createdMS <= e.GetDepartedMs()+ClockSkewAllowance.Milliseconds()
}

// retained reports whether the endpoint is present, or departed less than
// DepartedRetention ago.
func retained(e *pb.Endpoint, nowMS int64) bool {
	return e.GetDepartedMs() == 0 || nowMS-e.GetDepartedMs() < DepartedRetention.Milliseconds()
}

// resolve returns the result for the selected entry. If that entry has departed but
// its daemon is present again under the same name, the key is looked up there.
func resolve(home *pb.Endpoint, endpoints []*pb.Endpoint) Result {
	if home == nil {
		return Result{Status: NoneEligible, RetryAfter: noneEligibleRetryAfter}
	}
	if home.GetDepartedMs() == 0 {
		return Result{Status: Found, Endpoint: home}
	}
	for _, e := range endpoints {
		if e.GetName() == home.GetName() && e.GetDepartedMs() == 0 {
			return Result{Status: LookupOnly, Endpoint: e}
		}
	}
	return Result{Status: Departed, Endpoint: home}
}

// selectHome returns the candidate that rendezvous hashing selects for the key, or
// nil without candidates. Of several candidate entries with one name, it uses the
// one that became eligible last.
func selectHome(key string, endpoints []*pb.Endpoint, candidate func(*pb.Endpoint) bool) *pb.Endpoint {
	byName := make(map[string]*pb.Endpoint, len(endpoints))
	names := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		if !candidate(e) {
			continue
		}
		latest, ok := byName[e.GetName()]
		if !ok {
			names = append(names, e.GetName())
		}
		if !ok || latest.GetEligibleSinceMs() < e.GetEligibleSinceMs() {
			byName[e.GetName()] = e
		}
	}
	if len(names) == 0 {
		return nil
	}
	return byName[rendezvous.New(names, xxhash.Sum64String).Lookup(key)]
}
