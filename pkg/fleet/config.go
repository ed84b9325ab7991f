package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/compress"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

const (
	// historyLength is the number of past configurations kept as bases for
	// deltas. It covers a burst of changes that a peer cannot fetch one by one.
	historyLength = 32
	// maxFetchAttempts is the number of requests for one version that may fail. The
	// connection to the first peer may no longer deliver, or the peer has just been lost.
	maxFetchAttempts = 3
	// pooledFetchTimeout bounds the first request, which uses an open connection. Later
	// ones open a new connection, and syncTimeout bounds them.
	pooledFetchTimeout = 300 * time.Millisecond
	// maxConfigBytes bounds the decompressed size of a received configuration.
	maxConfigBytes = 64 << 20
)

// History keeps the most recent configurations that were in force.
type History struct {
	mu      sync.Mutex
	configs []*routing.Config
}

// Add appends a configuration and drops the oldest one above the limit.
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

// replyCache caches the replies for the current version, keyed by the version of
// the requesting peer. All daemons request a new version within milliseconds.
type replyCache struct {
	mu      sync.Mutex
	version uint64
	replies map[uint64]*pb.ConfigReply
}

// unknownBase stands for all versions of peers that are not in the history, which share
// one cached reply.
const unknownBase = math.MaxUint64

// configReply returns the delta from the peer's version, a partial configuration if that
// version is not in the history, or the full one for a peer without a version.
func (f *Fleet) configReply(peerVersion uint64) (*pb.ConfigReply, error) {
	table := f.Options.Config.Load()
	if table.Version() <= peerVersion {
		return &pb.ConfigReply{Version: table.Version()}, nil
	}
	base := f.History.find(peerVersion)
	if base == nil && peerVersion != 0 {
		peerVersion = unknownBase
	}
	f.replies.mu.Lock()
	defer f.replies.mu.Unlock()
	if f.replies.version != table.Version() {
		f.replies.version, f.replies.replies = table.Version(), make(map[uint64]*pb.ConfigReply)
	}
	if reply := f.replies.replies[peerVersion]; reply != nil {
		return reply, nil
	}
	reply := &pb.ConfigReply{Version: table.Version()}
	var content any = table.Config
	switch {
	case base != nil:
		content, reply.Delta = table.Config.Diff(base), true
	case peerVersion == unknownBase:
		content = f.History.partial(table.Config)
	}
	var err error
	if reply.Payload, err = pack(content); err != nil {
		return nil, err
	}
	f.replies.replies[peerVersion] = reply
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
		return fmt.Errorf("fleet: decode configuration: %w", err)
	}
	return nil
}

// newestPeer returns a live peer with the newest configuration, or nil if none is
// newer than the local one. Members in failed are not considered. The choice among
// equals is random, which spreads the load: all daemons fetch a new version at the
// same time.
func (f *Fleet) newestPeer(failed map[string]bool) *Member {
	newest := f.Options.Config.Load().Version()
	now := f.Table.clock.Now()
	var peers []Member
	f.Table.Each(func(m *Member) {
		if m.Self || failed[m.Name] || !m.Live(now) || m.ConfigVersion < newest || m.ConfigVersion == newest && len(peers) == 0 {
			return
		}
		if m.ConfigVersion > newest {
			newest, peers = m.ConfigVersion, nil
		}
		peers = append(peers, *m)
	})
	if len(peers) == 0 {
		return nil
	}
	return &peers[rand.IntN(len(peers))]
}

// fetchConfig fetches newer configurations from peers until none is left or
// maxFetchAttempts fetches have failed. Peers that failed are asked again only if no
// other has the version.
func (f *Fleet) fetchConfig() {
	if !f.fetching.TryLock() {
		return // the running fetch checks for newer versions before it returns
	}
	defer f.fetching.Unlock()
	failed := make(map[string]bool)
	for failures := 0; failures < maxFetchAttempts; {
		peer := f.newestPeer(failed)
		if peer == nil && failures > 0 {
			clear(failed)
			peer = f.newestPeer(failed)
		}
		if peer == nil {
			return
		}
		if !f.fetchFrom(peer, failures > 0) {
			failed[peer.Name] = true
			failures++
		}
	}
}

// requestConfig requests the configuration of a peer, on a new connection if reconnect
// is set. A daemon without a configuration gets the facts of the peer first: they restrict
// the use of targets, and may not have arrived yet.
func (f *Fleet) requestConfig(address string, held uint64, reconnect bool) (*pb.ConfigReply, error) {
	timeout := pooledFetchTimeout
	if reconnect {
		timeout = syncTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client := f.Peers.Fleet(ctx, address)
	if reconnect {
		newClient, disconnect, err := f.Peers.DialFleet(ctx, address)
		if err != nil {
			return nil, err
		}
		defer disconnect()
		client = newClient
	}
	if f.Options.Config.Load() == nil {
		reply, err := client.Sync(ctx, &pb.SyncRequest{From: f.Table.self})
		if err != nil {
			return nil, err
		}
		f.merge(nil, reply.GetFacts())
	}
	return client.Config(ctx, &pb.ConfigRequest{Held: held})
}

// fetchFrom fetches and applies the configuration of a peer. It reports whether a
// newer configuration was applied.
func (f *Fleet) fetchFrom(peer *Member, reconnect bool) bool {
	current := f.Options.Config.Load()
	reply, next, err := f.receiveConfig(peer.State.SyncAddress, current, reconnect)
	if err == nil && next == nil {
		return false
	}
	if err != nil {
		eventConfigFetchFailed.Log(f.Logger, zap.String("member", peer.Name),
			zap.Uint64("version", peer.ConfigVersion), zap.Uint64("held", current.Version()), zap.Error(err))
		return false
	}
	eventConfigFetched.Log(f.Logger, zap.String("member", peer.Name), zap.Uint64("version", next.Version),
		zap.Uint64("held", current.Version()), zap.Bool("delta", reply.GetDelta()), zap.Int("bytes", len(reply.GetPayload())))
	f.ApplyConfig(next)
	return true
}

// receiveConfig requests the configuration of a peer and decodes it. It returns no
// configuration if the peer has none that is newer than the current one. If the peer left
// out what this daemon does not have, all of it is requested.
func (f *Fleet) receiveConfig(address string, current *routing.Table, reconnect bool) (*pb.ConfigReply, *routing.Config, error) {
	for held := current.Version(); ; held = 0 {
		reply, err := f.requestConfig(address, held, reconnect)
		if err != nil || reply.GetVersion() <= current.Version() {
			return reply, nil, err
		}
		next, err := decodeConfig(current, reply)
		var missing *MissingWorkspaceError
		if held == 0 || !errors.As(err, &missing) {
			return reply, next, err
		}
	}
}

// BaseError reports a delta whose base version is not the current configuration.
type BaseError struct{ Current, From uint64 }

func (e *BaseError) Error() string {
	return fmt.Sprintf("fleet: delta is based on configuration version %d, want the current version %d", e.From, e.Current)
}

func decodeConfig(current *routing.Table, reply *pb.ConfigReply) (*routing.Config, error) {
	if !reply.GetDelta() {
		received := &partialConfig{Config: &routing.Config{}}
		if err := unpack(reply.GetPayload(), received); err != nil {
			return nil, err
		}
		return received.complete(current)
	}
	delta := &routing.Delta{}
	if err := unpack(reply.GetPayload(), delta); err != nil {
		return nil, err
	}
	if current == nil {
		return nil, &BaseError{From: delta.From}
	}
	next, ok := current.Config.Apply(delta)
	if !ok {
		return nil, &BaseError{Current: current.Version(), From: delta.From}
	}
	return next, nil
}
