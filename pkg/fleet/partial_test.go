package fleet

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// advance puts a configuration in force and into the history.
func advance(current *routing.Current, history *History, c *routing.Config) {
	if current.Advance(c) {
		history.Add(c)
	}
}

// TestPartialConfig guards against a partial configuration that results in other
// workspaces than those of the sender. Sender and receiver have seen different versions.
func TestPartialConfig(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sender, receiver routing.Current
		var history History
		rates := []float64{0, 0, 0}
		for version := uint64(1); version < 8; version++ {
			rates[rapid.IntRange(0, 2).Draw(t, "changed")] = float64(rapid.IntRange(0, 2).Draw(t, "rate"))
			next := func() *routing.Config {
				c := &routing.Config{Version: version}
				for i, rate := range rates[:rapid.IntRange(2, 3).Draw(t, "workspaces")] {
					c.Workspaces = append(c.Workspaces, &routing.Workspace{Name: string(rune('a' + i)), Rate: rate})
				}
				return c
			}()
			again := &routing.Config{Version: version}
			for _, w := range next.Workspaces {
				again.Workspaces = append(again.Workspaces, &routing.Workspace{Name: w.Name, Rate: w.Rate})
			}
			if version == 7 || rapid.Bool().Draw(t, "sender sees it") {
				advance(&sender, &history, next)
			}
			if version == 1 || version < 7 && rapid.Bool().Draw(t, "receiver sees it") {
				receiver.Advance(again)
			}
		}
		payload, err := pack(history.partial(sender.Load().Config))
		assert.NilError(t, err)
		got, err := decodeConfig(receiver.Load(), &pb.ConfigReply{Version: 7, Payload: payload})
		var missing *MissingWorkspaceError
		if errors.As(err, &missing) {
			return // the receiver requests all of it
		}
		assert.NilError(t, err)
		received := routing.NewTable(got)
		assert.Equal(t, len(got.Workspaces), len(sender.Load().Config.Workspaces))
		for _, w := range sender.Load().Config.Workspaces {
			assert.Equal(t, received.WorkspaceByName(w.Name).Hash(), w.Hash())
		}
	})
}

// TestUnknownBase guards against a peer that gets all keys although it has them, and
// against one that stays behind because it lacks a workspace that was left out.
func TestUnknownBase(t *testing.T) {
	const maxBytes = 8192 // of the routes, and of the hashes of 100 workspaces
	for name, c := range map[string]struct {
		receiver *routing.Config // has a version that the sender has not seen
		partial  bool
	}{
		"same workspaces":   {keyedConfig(7, 1), true},
		"other workspaces":  {keyedConfig(7, 50), false},
		"before the change": {keyedConfig(4, 0), true}, // the changed workspace is in the reply
	} {
		sender, receiver := startDaemon(t, "a", 1), startDaemon(t, "b", 1) // they do not know each other
		receiver.ApplyConfig(c.receiver)
		sender.ApplyConfig(keyedConfig(5, 0))
		sender.ApplyConfig(keyedConfig(9, 1))
		reply, err := sender.configReply(c.receiver.Version)
		assert.NilError(t, err)
		assert.Assert(t, !reply.GetDelta() && len(reply.GetPayload()) < maxBytes, "%s: %d bytes", name, len(reply.GetPayload()))
		_, err = decodeConfig(receiver.config.Load(), reply)
		assert.Equal(t, err == nil, c.partial, "%s: %v", name, err)

		var next *routing.Config
		for attempt := range maxFetchAttempts { // as in a fetch, whose first request has little time
			if _, next, err = receiver.receiveConfig(sender.address, receiver.config.Load(), attempt > 0); err == nil {
				break
			}
		}
		assert.NilError(t, err)
		receiver.ApplyConfig(next)
		table := receiver.config.Load()
		assert.Equal(t, table.Version(), uint64(9))
		assert.Equal(t, table.Authenticate(routing.DigestKey("added-0")).Name, "workspace-0", name)
		assert.Assert(t, table.Authenticate(routing.DigestKey("added-1")) == nil, name)
	}
}
