package keyhome

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

var now = time.UnixMilli(1_800_000_000_000)

func ago(d time.Duration) int64 { return now.Add(-d).UnixMilli() }

// TestJoinMovesNoDatedKey guards against a second execution after an endpoint joins:
// a key that was created before keeps its home, in any order of the endpoints.
func TestJoinMovesNoDatedKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		created := ago(time.Duration(rapid.IntRange(0, 500).Draw(t, "age")) * time.Second)
		var endpoints []*pb.Endpoint
		for i := range rapid.IntRange(1, 12).Draw(t, "endpoints") {
			endpoints = append(endpoints, &pb.Endpoint{Name: fmt.Sprint("vm-", i), EligibleSinceMs: created - 1000 - int64(i)})
		}
		key := rapid.String().Draw(t, "key")
		before := Home(key, created, endpoints, now)
		joined := &pb.Endpoint{Name: "vm-new", EligibleSinceMs: created - 999}
		after := Home(key, created, append([]*pb.Endpoint{joined}, endpoints...), now)
		assert.Equal(t, before.Status, Found)
		assert.Equal(t, after.Endpoint.GetName(), before.Endpoint.GetName())
	})
}

// TestDepartedHomeNeverMoves guards against executing a key at another endpoint
// after its home departed, until the key has expired.
func TestDepartedHomeNeverMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := []*pb.Endpoint{{Name: "a", EligibleSinceMs: 1}, {Name: "b", EligibleSinceMs: 1}, {Name: "c", EligibleSinceMs: 1}}
		key := rapid.StringN(1, 30, -1).Draw(t, "key")
		created := ago(0)
		home := Home(key, created, endpoints, now).Endpoint
		home.DepartedMs = created + int64(rapid.IntRange(-1000, 600_000).Draw(t, "departed"))
		later := time.UnixMilli(home.DepartedMs + int64(rapid.IntRange(1001, 4_000_000).Draw(t, "repeat")))
		got := Home(key, created, endpoints, later)
		assert.Assert(t, got.Status != Found, "a repeated request may be executed at %s", got.Endpoint.GetName())
	})
}

// TestKeyAfterDeparture guards against rejecting new keys until the retention of a
// departed endpoint ends, 10 minutes later.
func TestKeyAfterDeparture(t *testing.T) {
	endpoints := []*pb.Endpoint{
		{Name: "gone", EligibleSinceMs: 1, DepartedMs: ago(3 * time.Second)},
		{Name: "here", EligibleSinceMs: 1},
	}
	for i := range 50 {
		got := Home(fmt.Sprint(i), ago(time.Second), endpoints, now)
		assert.Equal(t, got.Status, Found)
		assert.Equal(t, got.Endpoint.Name, "here")
	}
}

// TestReturnedDaemon guards against executing a key from before the departure of a
// daemon that has rejoined, at that daemon or at another one.
func TestReturnedDaemon(t *testing.T) {
	endpoints := []*pb.Endpoint{
		{Name: "back", EligibleSinceMs: 1, DepartedMs: ago(5 * time.Second)},
		{Name: "back", EligibleSinceMs: ago(3 * time.Second)},
	}
	assert.Equal(t, Home("k", ago(10*time.Second), endpoints, now).Status, LookupOnly)
	assert.Equal(t, Home("k", ago(time.Second), endpoints, now).Status, Found)
	assert.Equal(t, Home("k", 0, endpoints, now).Status, LookupOnly)
	assert.Equal(t, Home("k", ago(10*time.Second), endpoints[:1], now).Status, Departed)
}

// TestUndatedKeyAfterJoin guards against executing an undated key at a new endpoint
// while its previous home may have executed it.
func TestUndatedKeyAfterJoin(t *testing.T) {
	endpoints := []*pb.Endpoint{{Name: "old", EligibleSinceMs: 1}, {Name: "new", EligibleSinceMs: ago(time.Minute)}}
	moved := 0
	for i := range 100 {
		key := fmt.Sprint(i)
		got := Home(key, 0, endpoints, now)
		assert.Equal(t, got.Endpoint.Name, "old")
		if got.Status == LookupOnly {
			moved++
			assert.Equal(t, Home(key, 0, endpoints, now.Add(DepartedRetention)).Endpoint.Name, "new")
		}
	}
	assert.Assert(t, moved > 20 && moved < 80, "%d of 100 keys moved to the new endpoint, want between 20 and 80", moved)
}

// TestKeyAgeLimits guards the limits on the age of a key.
func TestKeyAgeLimits(t *testing.T) {
	endpoints := []*pb.Endpoint{{Name: "a", EligibleSinceMs: 1}}
	assert.Equal(t, Home("k", ago(KeyLifetime+time.Millisecond), endpoints, now).Status, Expired)
	assert.Equal(t, Home("k", ago(DepartedRetention), endpoints, now).Status, LookupOnly)
	assert.Equal(t, Home("k", ago(-2*time.Second), endpoints, now).Status, FromFuture)
	assert.Equal(t, Home("k", ago(-time.Second), endpoints, now).Status, Found)
	assert.Equal(t, Home("k", ago(0), nil, now).Status, NoneEligible)
}

// TestCreatedMS guards the extraction of the time in a version 7 UUID.
func TestCreatedMS(t *testing.T) {
	start := time.Now().UnixMilli()
	id := uuid.Must(uuid.NewV7())
	got := CreatedMS(id.String())
	assert.Assert(t, got >= start && got <= time.Now().UnixMilli()+1, "created %d, started %d", got, start)
	assert.Equal(t, CreatedMS(uuid.NewString()), int64(0))
	assert.Equal(t, CreatedMS("order-17"), int64(0))
}
