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

// TestJoinMovesNoDatedKey guards against a second run after an endpoint joins:
// a key created before keeps its home, whatever the order of the view.
func TestJoinMovesNoDatedKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		created := ago(time.Duration(rapid.IntRange(0, 500).Draw(t, "age")) * time.Second)
		var view []*pb.Endpoint
		for i := range rapid.IntRange(1, 12).Draw(t, "endpoints") {
			view = append(view, &pb.Endpoint{Name: fmt.Sprint("vm-", i), EligibleSinceMs: created - 1000 - int64(i)})
		}
		key := rapid.String().Draw(t, "key")
		before := Home(key, created, view, now)
		joined := &pb.Endpoint{Name: "vm-new", EligibleSinceMs: created - 999}
		after := Home(key, created, append([]*pb.Endpoint{joined}, view...), now)
		assert.Equal(t, before.Status, Found)
		assert.Equal(t, after.Endpoint.GetName(), before.Endpoint.GetName())
	})
}

// TestDepartedHomeNeverMoves guards against running a key elsewhere after its
// home departed, until the key is too old to be run at all.
func TestDepartedHomeNeverMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := []*pb.Endpoint{{Name: "a", EligibleSinceMs: 1}, {Name: "b", EligibleSinceMs: 1}, {Name: "c", EligibleSinceMs: 1}}
		key := rapid.StringN(1, 30, -1).Draw(t, "key")
		created := ago(0)
		home := Home(key, created, view, now).Endpoint
		home.DepartedMs = created + int64(rapid.IntRange(-1000, 600_000).Draw(t, "departed"))
		later := time.UnixMilli(home.DepartedMs + int64(rapid.IntRange(1001, 4_000_000).Draw(t, "repeat")))
		got := Home(key, created, view, later)
		assert.Assert(t, got.Status != Found, "repeat may run at %s", got.Endpoint.GetName())
	})
}

// TestKeyAfterDeparture guards against refusing new keys for ten minutes.
func TestKeyAfterDeparture(t *testing.T) {
	view := []*pb.Endpoint{
		{Name: "gone", EligibleSinceMs: 1, DepartedMs: ago(3 * time.Second)},
		{Name: "here", EligibleSinceMs: 1},
	}
	for i := range 50 {
		got := Home(fmt.Sprint(i), ago(time.Second), view, now)
		assert.Equal(t, got.Status, Found)
		assert.Equal(t, got.Endpoint.Name, "here")
	}
}

// TestReturnedDaemon guards against running a key of the earlier stay of a
// daemon that came back, at that daemon or at another.
func TestReturnedDaemon(t *testing.T) {
	view := []*pb.Endpoint{
		{Name: "back", EligibleSinceMs: 1, DepartedMs: ago(5 * time.Second)},
		{Name: "back", EligibleSinceMs: ago(3 * time.Second)},
	}
	assert.Equal(t, Home("k", ago(10*time.Second), view, now).Status, LookupOnly)
	assert.Equal(t, Home("k", ago(time.Second), view, now).Status, Found)
	assert.Equal(t, Home("k", 0, view, now).Status, LookupOnly)
	assert.Equal(t, Home("k", ago(10*time.Second), view[:1], now).Status, Departed)
}

// TestUndatedKeyAfterJoin guards against running an undated key at a new
// endpoint while its earlier home may have run it.
func TestUndatedKeyAfterJoin(t *testing.T) {
	view := []*pb.Endpoint{{Name: "old", EligibleSinceMs: 1}, {Name: "new", EligibleSinceMs: ago(time.Minute)}}
	moved := 0
	for i := range 100 {
		key := fmt.Sprint(i)
		got := Home(key, 0, view, now)
		assert.Equal(t, got.Endpoint.Name, "old")
		if got.Status == LookupOnly {
			moved++
			assert.Equal(t, Home(key, 0, view, now.Add(DepartedRetention)).Endpoint.Name, "new")
		}
	}
	assert.Assert(t, moved > 20 && moved < 80, "moved %d of 100", moved)
}

// TestAges guards the limits of a key's age.
func TestAges(t *testing.T) {
	view := []*pb.Endpoint{{Name: "a", EligibleSinceMs: 1}}
	assert.Equal(t, Home("k", ago(KeyLifetime+time.Millisecond), view, now).Status, Expired)
	assert.Equal(t, Home("k", ago(DepartedRetention), view, now).Status, LookupOnly)
	assert.Equal(t, Home("k", ago(-2*time.Second), view, now).Status, FromFuture)
	assert.Equal(t, Home("k", ago(-time.Second), view, now).Status, Found)
	assert.Equal(t, Home("k", ago(0), nil, now).Status, NoneEligible)
}

// TestCreatedMS guards the reading of a version 7 UUID's time.
func TestCreatedMS(t *testing.T) {
	start := time.Now().UnixMilli()
	id := uuid.Must(uuid.NewV7())
	got := CreatedMS(id.String())
	assert.Assert(t, got >= start && got <= time.Now().UnixMilli()+1, "created %d, started %d", got, start)
	assert.Equal(t, CreatedMS(uuid.NewString()), int64(0))
	assert.Equal(t, CreatedMS("order-17"), int64(0))
}
