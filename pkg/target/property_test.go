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

// TestQueueProperties guards the queue under random calls: never more calls than
// slots, a suspect runs alone, every call is settled by its deadline, no slot is
// lost, and a call without competition is not refused.
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

func checkQueue(t *testing.T, draw *rand.Rand, slots, calls, suspects int) {
	q := NewFairQueue()
	q.Open(func(time.Time) int { return slots })
	var mu sync.Mutex
	running, alone := 0, false
	var wait sync.WaitGroup
	for range calls {
		start := time.Duration(draw.IntN(100)) * time.Millisecond
		limit := time.Duration(1+draw.IntN(120)) * time.Millisecond
		busy := time.Duration(1+draw.IntN(20)) * time.Millisecond
		member, isSuspect, leaves := fmt.Sprint(draw.IntN(4)), draw.IntN(8) < suspects, draw.IntN(6) == 0
		wait.Go(func() {
			time.Sleep(start)
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			if leaves {
				ctx, cancel = context.WithTimeout(context.Background(), limit/2)
			}
			defer cancel()
			work := &Work{Member: member, Route: "r", Deadline: time.Now().Add(limit), Alone: func() bool { return isSuspect }}
			slot, err := q.Acquire(ctx, work)
			if time.Now().After(work.Deadline) {
				t.Errorf("settled %s after the deadline", time.Since(work.Deadline))
			}
			if err != nil {
				return
			}
			mu.Lock()
			running++
			if running > slots || alone || isSuspect && running > 1 {
				t.Errorf("%d calls run at %d slots, alone %t, suspect %t", running, slots, alone, isSuspect)
			}
			alone = isSuspect
			mu.Unlock()
			time.Sleep(busy)
			mu.Lock()
			running--
			alone = false
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

// TestKeyTableProperties guards the key table against a simple model: a key
// that finished is not new again for an hour, whatever else the table holds,
// and the stored answers keep their bound.
func TestKeyTableProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		synctest.Test(t, func(t *testing.T) { checkKeyTable(t, rand.New(rand.NewPCG(seed, 2))) })
	})
}

func checkKeyTable(t *testing.T, draw *rand.Rand) {
	table := NewKeyTable()
	finished := map[string]time.Time{}
	for range 400 {
		time.Sleep(time.Duration(draw.ExpFloat64() * float64(20*time.Second)))
		id := fmt.Sprint("key ", draw.IntN(60))
		request := uint64(draw.IntN(12) / 11)
		var created int64
		if draw.IntN(2) == 0 {
			created = time.Now().UnixMilli()
		}
		record, state := table.Begin(id, request, created)
		ended, ran := finished[id]
		since := time.Since(ended)
		switch state {
		case keyNew:
			if ran && since < markRetention-time.Second {
				t.Fatalf("%s is new again %s after it ran", id, since)
			}
			delete(finished, id)
			if draw.IntN(3) == 0 {
				table.Abort(record)
				continue
			}
			var answer *Answer
			if draw.IntN(4) > 0 {
				answer = &Answer{Body: make([]byte, draw.IntN(maxAnswerBytes/2))}
			}
			table.Finish(record, answer)
			finished[id] = time.Now()
		case keyAnswered:
			if !ran || since >= answerRetention {
				t.Fatalf("%s has an answer %s after it ran", id, since)
			}
		case keyRun, keyOther:
			if !ran {
				t.Fatalf("%s is known and never ran", id)
			}
		default:
			t.Fatalf("%s has state %d", id, state)
		}
		if size := table.Size(); size.AnswerBytes > maxAnswerBytes {
			t.Fatalf("%d bytes of answers are stored", size.AnswerBytes)
		}
	}
}

// TestKeyTableBounds guards the memory of the table and what it does at its
// bounds: dated keys are forgotten safely, undated ones are refused.
func TestKeyTableBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewKeyTable()
		fill := func(kind string, n int, dated bool) (refused int) {
			for i := range n {
				var created int64
				if dated {
					created = time.Now().UnixMilli()
				}
				record, state := table.Begin(fmt.Sprint(kind, i), 1, created)
				if state == keyFull {
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
		assert.Equal(t, fill("dated ", maxDatedMarks+maxRecords+5000, true), 0)
		_, state := table.Begin("never seen", 1, start)
		assert.Equal(t, state, keyForgotten)
		_, state = table.Begin("dated 0", 1, start)
		assert.Equal(t, state, keyForgotten)
		refused := fill("undated ", maxUndatedMarks+1000, false)
		assert.Assert(t, refused > 0, "undated keys have no bound")
		_, state = table.Begin("undated 0", 1, 0)
		assert.Equal(t, state, keyRun)
		size := table.Size()
		assert.Assert(t, size.Records <= maxRecords+1 && size.Marks <= maxDatedMarks+maxUndatedMarks, "%+v", size)
	})
}
