package connlimit_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"nutmegstand.example/nutmegstand/pkg/connlimit"
)

// listener is a pool with the names of the connections that it closed.
type listener struct {
	*connlimit.Pool
	closed []string
}

func newListener(connections int, memory int64) *listener {
	return &listener{Pool: connlimit.NewPool(connlimit.Limits{Connections: connections, Memory: memory})}
}

func (l *listener) add(name string) *connlimit.Conn {
	return l.Add(func(connlimit.Reason) { l.closed = append(l.closed, name) })
}

func serve(c *connlimit.Conn) {
	c.Begin()
	c.End()
}

// TestOrder guards against a connection that is closed although one is left that has
// not completed a request, and against one that is closed during its request.
func TestOrder(t *testing.T) {
	l := newListener(4, 100)
	serve(l.add("early"))
	l.add("stuck 1")
	l.add("running").Begin()
	l.add("stuck 2")
	l.add("new 1")
	l.add("new 2").Begin()
	assert.DeepEqual(t, l.closed, []string{"stuck 1", "stuck 2"})
	l.add("new 3")
	assert.DeepEqual(t, l.closed[2:], []string{"new 1"})
	l.add("new 4").Begin()
	l.add("new 5").Begin()
	assert.DeepEqual(t, l.closed[3:], []string{"new 3", "early"})
	assert.Assert(t, l.add("refused") == nil, "all others have a request in progress")
}

// TestStalledResponses guards against clients that do not take their responses and keep
// others from a listener.
func TestStalledResponses(t *testing.T) {
	l := newListener(2, 100)
	stalled, running := l.add("stalled"), l.add("running")
	stalled.Begin()
	running.Begin()
	assert.Assert(t, l.add("refused") == nil)
	stalled.SetStalled(true)
	running.SetStalled(true)
	running.SetStalled(false)
	l.add("new")
	assert.DeepEqual(t, l.closed, []string{"stalled"})
	stalled.End()
	assert.Equal(t, l.Usage(), connlimit.Usage{Fresh: 2}, "a closed connection does not return")
}

// TestServedShare guards against clients with many idle connections that leave no room
// for the first request of others.
func TestServedShare(t *testing.T) {
	l := newListener(8, 100)
	first := l.add("first")
	serve(first)
	for range 6 {
		serve(l.add("idle"))
	}
	serve(first)
	l.add("stuck")
	l.add("new").Begin()
	assert.DeepEqual(t, l.closed, []string{"stuck"})
	serve(l.add("served"))
	assert.DeepEqual(t, l.closed[1:], []string{"idle"}) // first has had a later request
}

// TestMemory guards against a client that takes the memory of a listener, and against a
// closed connection that has taken none of it.
func TestMemory(t *testing.T) {
	l := newListener(10, 100)
	l.add("idle")
	holder, running, last := l.add("holder"), l.add("running"), l.add("last")
	assert.Assert(t, holder.Take(50))
	running.Begin()
	assert.Assert(t, !running.Take(1), "half of the memory is for requests of connections without one")
	assert.Assert(t, last.Take(60))
	assert.DeepEqual(t, l.closed, []string{"holder"})
	assert.Assert(t, !last.Take(50), "it would have to be closed itself")
	last.Release(60)
	assert.Assert(t, running.Take(50))
	assert.Assert(t, !last.Take(60), "the other one has a request in progress")
	assert.Equal(t, l.Usage().Memory, int64(50))
	served := l.add("served")
	serve(served)
	running.Release(50)
	assert.Assert(t, served.Take(100))
	assert.Assert(t, last.Take(60))
	assert.DeepEqual(t, l.closed[1:], []string{"served"}) // a started request does not keep others from their first one
	last.Remove()
	last.Release(60)
	assert.Equal(t, l.Usage().Memory, int64(0), "memory is released once")
}

// TestBounds guards against a sequence of calls after which a pool has more connections
// or memory than its limits, or closes a connection with a request in progress.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := connlimit.Limits{Connections: rapid.IntRange(1, 6).Draw(t, "connections"), Memory: 100}
		pool := connlimit.NewPool(limits)
		active := map[*connlimit.Conn]int{}
		var open []*connlimit.Conn
		add := func() {
			var c *connlimit.Conn
			c = pool.Add(func(connlimit.Reason) {
				assert.Equal(t, active[c], 0)
				for i := range open {
					if open[i] == c {
						open = append(open[:i], open[i+1:]...)
						break
					}
				}
			})
			if c != nil {
				open = append(open, c)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(open) == 0 {
				add()
				continue
			}
			c := rapid.SampledFrom(open).Draw(t, "connection")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				add()
			case 1:
				active[c]++
				c.Begin()
			case 2:
				if active[c] > 0 {
					active[c]--
					c.End()
				}
			default:
				c.Take(int64(rapid.IntRange(1, 60).Draw(t, "bytes")))
			}
			usage := pool.Usage()
			assert.Assert(t, usage.Fresh+usage.Served == len(open) && len(open) <= limits.Connections, "%+v", usage)
			assert.Assert(t, usage.Memory <= limits.Memory, "%+v", usage)
		}
	})
}
