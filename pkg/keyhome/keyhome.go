// Package keyhome finds the home of an idempotency key: the one daemon that
// keeps the key's record. The caller side and the target side share it, each
// with its own view of the service's endpoints.
package keyhome

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/google/uuid"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// ClockAllowance covers the difference between the clock that dated a key
	// and the clocks that dated the endpoint records.
	ClockAllowance = time.Second
	// DepartedRetention is the time for which a departed endpoint still counts.
	// A key older than this may have run at an endpoint that nobody remembers.
	DepartedRetention = 10 * time.Minute
	// KeyLifetime is the age after which a key is never run.
	KeyLifetime = time.Hour
	// noneEligibleRetry is the wait suggested while no endpoint is eligible.
	noneEligibleRetry = time.Second
)

// Status says what may happen with a key.
type Status int

// Statuses of a key.
const (
	// Found: Result.Endpoint is the home and may run the key.
	Found Status = iota
	// LookupOnly: Result.Endpoint may hold the key's record, but whoever ran the
	// key first may be gone. It answers from its record and never runs the key.
	LookupOnly
	// Departed: the home is gone; the outcome is unknown and nothing runs.
	Departed
	// NoneEligible: no endpoint is eligible yet; not run, retry later.
	NoneEligible
	// Expired: the key is older than KeyLifetime; the outcome is unknown.
	Expired
	// FromFuture: the key's creation time is ahead of this clock by more than
	// ClockAllowance; a caller's error, because later endpoints could become
	// its home.
	FromFuture
)

// String returns the status for logs and reasons.
func (s Status) String() string {
	return [...]string{
		"found", "lookup only", "home departed", "no endpoint eligible", "key expired", "key dated in the future",
	}[s]
}

// Result is the home of a key.
type Result struct {
	Status   Status
	Endpoint *pb.Endpoint // for Found, LookupOnly and Departed
	// RetryAfter is set for NoneEligible.
	RetryAfter time.Duration
}

// CreatedMS returns the creation time of a key in Unix milliseconds: that of a
// UUID version 7, and 0 for any other key.
func CreatedMS(key string) int64 {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds).UnixMilli()
}

// Home finds the home of a key among the endpoints of one service. Endpoints
// may hold several entries with one name, when a daemon departed and returned;
// departed entries must be kept for DepartedRetention. A createdMS of 0 means
// that the creation time is unknown.
func Home(key string, createdMS int64, endpoints []*pb.Endpoint, now time.Time) Result {
	nowMS := now.UnixMilli()
	if createdMS == 0 {
		return homeUndated(key, endpoints, nowMS)
	}
	age := nowMS - createdMS
	if age > KeyLifetime.Milliseconds() {
		return Result{Status: Expired}
	}
	if -age > ClockAllowance.Milliseconds() {
		return Result{Status: FromFuture}
	}
	home := winner(key, endpoints, func(e *pb.Endpoint) bool { return heldAt(e, createdMS) && remembered(e, nowMS) })
	result := judge(home, endpoints)
	if result.Status == Found && age >= DepartedRetention.Milliseconds() {
		result.Status = LookupOnly
	}
	return result
}

// homeUndated applies the rule for keys without a creation time: the home is
// taken over all endpoints that count now. For DepartedRetention after an
// endpoint joined, the keys that it took over are only looked up at their
// earlier home, since they may have run there.
func homeUndated(key string, endpoints []*pb.Endpoint, nowMS int64) Result {
	counts := func(e *pb.Endpoint) bool {
		return e.GetEligibleSinceMs()+ClockAllowance.Milliseconds() <= nowMS && remembered(e, nowMS)
	}
	home := winner(key, endpoints, counts)
	result := judge(home, endpoints)
	if result.Status != Found {
		return result
	}
	joined := home.GetEligibleSinceMs()
	if joined+(ClockAllowance+DepartedRetention).Milliseconds() <= nowMS {
		return result
	}
	earlier := winner(key, endpoints, func(e *pb.Endpoint) bool {
		return counts(e) && e.GetEligibleSinceMs() < joined
	})
	if earlier == nil {
		return result
	}
	result = judge(earlier, endpoints)
	if result.Status == Found {
		result.Status = LookupOnly
	}
	return result
}

// heldAt reports whether the endpoint was a candidate for keys created at the
// given time. A key created after a departure cannot have run there.
func heldAt(e *pb.Endpoint, createdMS int64) bool {
	if e.GetEligibleSinceMs()+ClockAllowance.Milliseconds() > createdMS {
		return false
	}
	return e.GetDepartedMs() == 0 || createdMS <= e.GetDepartedMs()+ClockAllowance.Milliseconds()
}

func remembered(e *pb.Endpoint, nowMS int64) bool {
	return e.GetDepartedMs() == 0 || nowMS-e.GetDepartedMs() < DepartedRetention.Milliseconds()
}

// judge turns the winning entry into a result. A departed entry whose daemon
// is present under the same name is asked for its record.
func judge(home *pb.Endpoint, endpoints []*pb.Endpoint) Result {
	if home == nil {
		return Result{Status: NoneEligible, RetryAfter: noneEligibleRetry}
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

// winner returns the candidate that the rendezvous hash selects. Of several
// candidate entries with one name, the latest stands.
func winner(key string, endpoints []*pb.Endpoint, candidate func(*pb.Endpoint) bool) *pb.Endpoint {
	byName := make(map[string]*pb.Endpoint, len(endpoints))
	names := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		if !candidate(e) {
			continue
		}
		held, ok := byName[e.GetName()]
		if !ok {
			names = append(names, e.GetName())
		}
		if !ok || held.GetEligibleSinceMs() < e.GetEligibleSinceMs() {
			byName[e.GetName()] = e
		}
	}
	if len(names) == 0 {
		return nil
	}
	return byName[rendezvous.New(names, xxhash.Sum64String).Lookup(key)]
}
