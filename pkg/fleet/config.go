package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/compress"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

const (
	// historyLength is the number of older configurations kept for deltas: a
	// burst of changes faster than a peer can follow.
	historyLength = 32
	// maxConfigBytes bounds the decompressed size of a received configuration.
	maxConfigBytes = 64 << 20
)

// History keeps the last configurations that were in force.
type History struct {
	mu      sync.Mutex
	configs []*routing.Config
}

// Add appends a configuration.
func (h *History) Add(c *routing.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.configs = append(h.configs, c)
	if len(h.configs) > historyLength {
		h.configs = slices.Delete(h.configs, 0, 1)
	}
}

func (h *History) find(version uint64) *routing.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.configs {
		if c.Version == version {
			return c
		}
	}
	return nil
}

// replyCache keeps the answers of one version, by the version that the peer
// holds: every daemon asks for the same within milliseconds.
type replyCache struct {
	mu      sync.Mutex
	version uint64
	replies map[uint64]*pb.ConfigReply
}

// configReply returns the difference to the version that the peer holds, or
// the whole configuration if that version is not kept.
func (f *Fleet) configReply(held uint64) (*pb.ConfigReply, error) {
	table := f.Options.Config.Load()
	if table.Version() <= held {
		return &pb.ConfigReply{Version: table.Version()}, nil
	}
	old := f.History.find(held)
	if old == nil {
		held = 0 // the whole configuration is the same for all
	}
	f.replies.mu.Lock()
	defer f.replies.mu.Unlock()
	if f.replies.version != table.Version() {
		f.replies.version, f.replies.replies = table.Version(), make(map[uint64]*pb.ConfigReply)
	}
	if reply := f.replies.replies[held]; reply != nil {
		return reply, nil
	}
	reply := &pb.ConfigReply{Version: table.Version()}
	var content any = table.Config
	if old != nil {
		content, reply.Delta = table.Config.Diff(old), true
	}
	var err error
	if reply.Payload, err = pack(content); err != nil {
		return nil, err
	}
	f.replies.replies[held] = reply
	return reply, nil
}

func pack(content any) ([]byte, error) {
	data, err := json.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("fleet: encode configuration: %w", err)
	}
	return compress.Pack(data), nil
}

func unpack(payload []byte, content any) error {
	data, err := compress.Unpack(payload, maxConfigBytes)
	if err == nil {
		err = json.Unmarshal(data, content)
	}
	if err != nil {
		return fmt.Errorf("fleet: configuration: %w", err)
	}
	return nil
}

// newestHolder returns one of the live members with the newest configuration,
// if that is newer than the own one. Daemons choose at random, since all ask
// at the same time.
func (f *Fleet) newestHolder() *Member {
	newest := f.Options.Config.Load().Version()
	var holders []Member
	for _, m := range f.Table.Live() {
		if m.Self || m.State.ConfigVersion < newest || m.State.ConfigVersion == newest && len(holders) == 0 {
			continue
		}
		if m.State.ConfigVersion > newest {
			newest, holders = m.State.ConfigVersion, nil
		}
		holders = append(holders, m)
	}
	if len(holders) == 0 {
		return nil
	}
	return &holders[rand.IntN(len(holders))]
}

// fetchConfig takes newer configurations from other members until there is none.
func (f *Fleet) fetchConfig() {
	if !f.fetching.TryLock() {
		return // the fetch under way looks for newer ones when it is done
	}
	defer f.fetching.Unlock()
	for holder := f.newestHolder(); holder != nil; holder = f.newestHolder() {
		if !f.fetchFrom(holder) {
			return
		}
	}
}

func (f *Fleet) fetchFrom(holder *Member) bool {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	held := f.Options.Config.Load()
	reply, err := f.Peers.Fleet(ctx, holder.State.SyncAddress).Config(ctx, &pb.ConfigRequest{Held: held.Version()})
	if err == nil && reply.GetVersion() <= held.Version() {
		return false
	}
	var next *routing.Config
	if err == nil {
		next, err = decodeConfig(held, reply)
	}
	if err != nil {
		eventConfigFetchFailed.Log(f.Logger, zap.String("member", holder.Name),
			zap.Uint64("version", holder.State.ConfigVersion), zap.Uint64("held", held.Version()), zap.Error(err))
		return false
	}
	eventConfigFetched.Log(f.Logger, zap.String("member", holder.Name), zap.Uint64("version", next.Version),
		zap.Uint64("held", held.Version()), zap.Bool("delta", reply.GetDelta()), zap.Int("bytes", len(reply.GetPayload())))
	f.Adopted(next)
	return true
}

// BaseError reports a delta that does not start from the held configuration.
type BaseError struct{ Held, From uint64 }

func (e *BaseError) Error() string {
	return fmt.Sprintf("fleet: delta from configuration %d does not fit %d", e.From, e.Held)
}

func decodeConfig(held *routing.Table, reply *pb.ConfigReply) (*routing.Config, error) {
	if !reply.GetDelta() {
		config := &routing.Config{}
		return config, unpack(reply.GetPayload(), config)
	}
	delta := &routing.Delta{}
	if err := unpack(reply.GetPayload(), delta); err != nil {
		return nil, err
	}
	if held == nil {
		return nil, &BaseError{From: delta.From}
	}
	next, ok := held.Config.Apply(delta)
	if !ok {
		return nil, &BaseError{Held: held.Version(), From: delta.From}
	}
	return next, nil
}
