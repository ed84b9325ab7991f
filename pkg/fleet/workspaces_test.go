package fleet

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

const (
	benchWorkspaces   = 100
	keysPerWorkspace  = 100
	changesInSequence = 100
)

// keyedConfig returns a configuration with 10,000 keys, and one more in each of the first
// changed workspaces.
func keyedConfig(version uint64, changed int) *routing.Config {
	c := &routing.Config{Version: version}
	for i := range 190 {
		c.Routes = append(c.Routes, &routing.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "fish.example", Prefix: fmt.Sprintf("/service-%d/", i), Kind: routing.Idempotent,
			Attempts: 2, Split: []routing.Share{{Service: fmt.Sprintf("service-%d", i), Weight: 1}},
		})
	}
	c.Routes[version%190].Attempts = int(version)
	for i := range benchWorkspaces {
		w := &routing.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: 20, Burst: 20}
		for k := range keysPerWorkspace {
			w.Keys = append(w.Keys, routing.DigestKey(fmt.Sprintf("key-%d-%d", i, k)))
		}
		if i < changed {
			w.Keys = append(w.Keys, routing.DigestKey(fmt.Sprintf("added-%d", i)))
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	return c
}

// daemonAt returns the configuration in force of a daemon.
func daemonAt(c *routing.Config) *routing.Current {
	current := &routing.Current{}
	current.Advance(&routing.Config{Version: c.Version, Routes: slices.Clone(c.Routes), Workspaces: slices.Clone(c.Workspaces)})
	return current
}

// deltaReply returns the reply to a peer that has another version.
func deltaReply(t testing.TB, from, to *routing.Config) *pb.ConfigReply {
	payload, err := pack(to.Diff(from))
	assert.NilError(t, err)
	return &pb.ConfigReply{Version: to.Version, Delta: true, Payload: payload}
}

// TestBytesOfKeys guards against a change that costs bytes for each key of the
// workspaces that it leaves as they are.
func TestBytesOfKeys(t *testing.T) {
	const (
		maxUnchanged = 400  // bytes of a delta with one changed route
		maxChanged   = 2400 // with one workspace of 101 keys besides, about 17 bytes a key
	)
	before := daemonAt(keyedConfig(1, 0)).Load().Config
	same, changed := deltaReply(t, before, keyedConfig(2, 0)), deltaReply(t, before, keyedConfig(2, 1))
	assert.Assert(t, len(same.GetPayload()) < maxUnchanged, "%d bytes", len(same.GetPayload()))
	assert.Assert(t, len(changed.GetPayload()) < maxChanged, "%d bytes", len(changed.GetPayload()))
}

// BenchmarkChange measures 100 changes in quick succession among 10,000 keys: at the
// daemon that sends a delta, and at the one that receives it.
func BenchmarkChange(b *testing.B) {
	for _, c := range []struct {
		name    string
		changed func(i int) int
	}{
		{"workspaces unchanged", func(int) int { return 0 }},
		{"one workspace changed", func(i int) int { return i }},
	} {
		versions := make([]*routing.Config, changesInSequence+1)
		var at routing.Current
		for i := range versions {
			versions[i] = keyedConfig(uint64(i+1), c.changed(i))
			at.Advance(versions[i]) // shares what is equal, as at the sender
		}
		replies := make([]*pb.ConfigReply, len(versions))
		bytes := 0
		b.Run(c.name+"/send", func(b *testing.B) {
			for b.Loop() {
				bytes = 0
				for i := 1; i < len(versions); i++ {
					replies[i] = deltaReply(b, versions[i-1], versions[i])
					bytes += len(replies[i].GetPayload())
				}
			}
			b.ReportMetric(float64(bytes)/changesInSequence, "bytes/change")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/changesInSequence, "µs/change")
		})
		b.Run(c.name+"/receive", func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				current := daemonAt(versions[0])
				b.StartTimer()
				for _, reply := range replies[1:] {
					next, err := decodeConfig(current.Load(), reply)
					if err != nil || !current.Advance(next) {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/changesInSequence, "µs/change")
		})
	}
	benchmarkWhole(b)
}

// benchmarkWhole measures the reply to a peer without a known base.
func benchmarkWhole(b *testing.B) {
	var history History
	var sender routing.Current
	advance(&sender, &history, keyedConfig(1, 0))
	advance(&sender, &history, keyedConfig(3, 0))
	receiver := daemonAt(keyedConfig(2, 0)).Load()
	partial, err := pack(history.partial(sender.Load().Config))
	assert.NilError(b, err)
	b.Run("unknown base, workspaces unchanged/receive", func(b *testing.B) {
		for b.Loop() {
			if _, err := decodeConfig(receiver, &pb.ConfigReply{Version: 3, Payload: partial}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(partial)), "bytes")
	})
	full, err := pack(keyedConfig(1, 0))
	assert.NilError(b, err)
	b.Run("whole configuration/receive", func(b *testing.B) {
		for b.Loop() {
			config := &routing.Config{}
			if err := unpack(full, config); err != nil {
				b.Fatal(err)
			}
			daemonAt(config)
		}
		b.ReportMetric(float64(len(full)), "bytes")
	})
}
