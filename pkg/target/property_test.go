package target

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestQueueProperties checks the queue with random calls: no more calls run than
// there are slots, a suspect call runs exclusively, every call gets a result by its
// deadline, no slot is lost, and a call without competition is not refused.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		slots := rapid.IntRange(1, 6).Draw(r, "slots")
		calls := rapid.IntRange(1, 80).Draw(r, "calls")
		suspects := rapid.IntRange(0, 4).Draw(r, "suspects in 8")
		synctest.Test(t, func(t *testing.T) {
			checkQueue(t, rand.New(rand.NewPCG(seed, 1)), slots, calls, suspects)
		})
	})
}

func checkQueue(t *testing.T, rng *rand.Rand, slots, calls, suspects int) {
	q := NewFairQueue()
	q.Open(func(time.Time) int { return slots })
	var mu sync.Mutex
	running, exclusive := 0, false
	var wait sync.WaitGroup
	for range calls {
		start := time.Duration(rng.IntN(100)) * time.Millisecond
		timeout := time.Duration(1+rng.IntN(120)) * time.Millisecond
		runTime := time.Duration(1+rng.IntN(20)) * time.Millisecond
		member, isSuspect, cancels := fmt.Sprint(rng.IntN(4)), rng.IntN(8) < suspects, rng.IntN(6) == 0
		wait.Go(func() {
			time.Sleep(start)
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			if cancels {
				ctx, cancel = context.WithTimeout(context.Background(), timeout/2)
			}
			defer cancel()
			work := &Work{Member: member, Route: "r", Deadline: time.Now().Add(timeout), Exclusive: func() bool { return isSuspect }}
			slot, err := q.Acquire(ctx, work)
			if time.Now().After(work.Deadline) {
				t.Errorf("result %s after the deadline", time.Since(work.Deadline))
			}
			if err != nil {
				return
			}
			mu.Lock()
			running++
			if running > slots || exclusive || isSuspect && running > 1 {
				t.Errorf("%d calls run at %d slots, exclusive %t, suspect %t", running, slots, exclusive, isSuspect)
			}
			exclusive = isSuspect
			mu.Unlock()
			time.Sleep(runTime)
			mu.Lock()
			running--
			exclusive = false
			mu.Unlock()
			slot.Done(true)
		})
	}
	wait.Wait()
	time.Sleep(time.Second)
	load := q.Load()
	assert.Equal(t, load.GetInUse(), int32(0))
	assert.Equal(t, load.GetQueued(), int32(0))
	for range slots {
		_, err := q.Acquire(context.Background(), &Work{Member: "m", Route: "r", Deadline: time.Now().Add(time.Second)})
		assert.NilError(t, err, "a slot was lost")
	}
}

// TestKeyTableProperties compares the key table with a simple model: a finished key
// is not new again for an hour, whatever else the table contains, and the stored
// responses stay within their limit.
func TestKeyTableProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		synctest.Test(t, func(t *testing.T) { checkKeyTable(t, rand.New(rand.NewPCG(seed, 2))) })
	})
}

func checkKeyTable(t *testing.T, rng *rand.Rand) {
	table := NewKeyTable()
	finished := map[string]time.Time{}
	for range 400 {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(20*time.Second)))
		id := fmt.Sprint("key ", rng.IntN(60))
		request := uint64(rng.IntN(12) / 11)
		var created int64
		if rng.IntN(2) == 0 {
			created = time.Now().UnixMilli()
		}
		record, state := table.Reserve(id, request, created)
		ended, ran := finished[id]
		since := time.Since(ended)
		switch state {
		case keyNew:
			if ran && since < tombstoneRetention-time.Second {
				t.Fatalf("%s is new again %s after it ran", id, since)
			}
			delete(finished, id)
			if rng.IntN(3) == 0 {
				table.Abort(record)
				continue
			}
			var response *Response
			if rng.IntN(4) > 0 {
				response = &Response{Body: make([]byte, rng.IntN(maxResponseBytes/2))}
			}
			table.Finish(record, response)
			finished[id] = time.Now()
		case keyAnswered:
			if !ran || since >= responseRetention {
				t.Fatalf("%s has a response %s after it ran", id, since)
			}
		case keyRanNoResponse, keyMismatch:
			if !ran {
				t.Fatalf("%s is in the table and never ran", id)
			}
		default:
			t.Fatalf("%s has state %d", id, state)
		}
		if size := table.Size(); size.ResponseBytes > maxResponseBytes {
			t.Fatalf("%d bytes of responses are stored", size.ResponseBytes)
		}
	}
}

// TestKeyTableBounds guards against unlimited memory of the table and against
// running a key twice at its limits: evicted dated keys are reported as possibly
// run, and new undated keys are refused.
func TestKeyTableBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewKeyTable()
		fill := func(kind string, n int, dated bool) (refused int) {
			for i := range n {
				var created int64
				if dated {
					created = time.Now().UnixMilli()
				}
				record, state := table.Reserve(fmt.Sprint(kind, i), 1, created)
				if state == keyTableFull {
					refused++
					continue
				}
				assert.Equal(t, state, keyNew)
				table.Finish(record, nil)
				time.Sleep(time.Millisecond)
			}
			return refused
		}
		start := time.Now().UnixMilli()
		assert.Equal(t, fill("dated ", maxDatedTombstones+maxRecords+5000, true), 0)
		_, state := table.Reserve("never seen", 1, start)
		assert.Equal(t, state, keyEvicted)
		_, state = table.Reserve("dated 0", 1, start)
		assert.Equal(t, state, keyEvicted)
		refused := fill("undated ", maxUndatedTombstones+1000, false)
		assert.Assert(t, refused > 0, "undated keys have no limit")
		_, state = table.Reserve("undated 0", 1, 0)
		assert.Equal(t, state, keyRanNoResponse)
		size := table.Size()
		assert.Assert(t, size.Records <= maxRecords+1 && size.Tombstones <= maxDatedTombstones+maxUndatedTombstones, "%+v", size)
	})
}
