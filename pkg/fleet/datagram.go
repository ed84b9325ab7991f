package fleet

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// maxDatagram is the largest payload in bytes that is pushed in one datagram.
	// It fits an Ethernet frame together with the IP and UDP headers.
	maxDatagram = 1400
	// repeatDelay is the delay after which each push is sent a second time, in
	// case datagrams were lost. Exchanges deliver what both pushes missed.
	repeatDelay = 150 * time.Millisecond
	// readPause is the delay after a failed read; it keeps a socket that fails
	// persistently from using a full core.
	readPause = 20 * time.Millisecond
	// readBuffer is the read buffer size in bytes; the largest UDP datagram fits.
	readBuffer = 64 << 10
)

// pushMessages returns the messages of the next push: the local state and the
// facts set since the previous push, split so that each message with more than
// one fact fits a datagram.
func (f *Fleet) pushMessages() []*pb.SyncRequest {
	message := &pb.SyncRequest{
		From: f.Table.self, States: []*pb.MemberState{f.Table.localState()}, ConfigVersion: f.Options.Config.Load().Version(),
	}
	messages := []*pb.SyncRequest{message}
	size := proto.Size(message)
	for _, fact := range f.takeUnpushed() {
		// Two bytes each for the tag and the length prefix of the fact.
		if added := proto.Size(fact) + 4; size+added <= maxDatagram {
			message.Facts = append(message.Facts, fact)
			size += added
			continue
		}
		message = &pb.SyncRequest{From: f.Table.self, Facts: []*pb.Fact{fact}}
		messages = append(messages, message)
		size = proto.Size(message)
	}
	return messages
}

// takeUnpushed returns the facts set locally since the previous call.
func (f *Fleet) takeUnpushed() []*pb.Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	var facts []*pb.Fact
	for key := range f.unpushed {
		if fact, ok := f.Table.Fact(key); ok {
			facts = append(facts, &pb.Fact{Key: fact.Key, Rank: fact.Rank, Payload: fact.Payload})
		}
	}
	clear(f.unpushed)
	return facts
}

// pushAll pushes the local state and unpushed facts to all peers, and repeats the
// push after repeatDelay.
func (f *Fleet) pushAll(ctx context.Context) {
	messages := f.pushMessages()
	f.sendAll(ctx, messages)
	time.AfterFunc(repeatDelay, func() {
		if ctx.Err() == nil {
			f.sendAll(ctx, messages)
		}
	})
}

// sendAll sends messages to all peers that are not leaving: as datagrams, or by
// Sync calls if a message exceeds maxDatagram.
func (f *Fleet) sendAll(ctx context.Context, messages []*pb.SyncRequest) {
	for _, message := range messages {
		data, err := proto.Marshal(message)
		if err != nil {
			eventStateRejected.Log(f.Logger, zap.Error(err))
			continue
		}
		for name, address := range f.Table.pushAddresses() {
			if len(data) > maxDatagram {
				f.submit(func() { f.sync(ctx, address, proto.CloneOf(message)) })
				continue
			}
			f.sendTo(name, address, data)
		}
	}
}

// pushAddresses returns the addresses of the peers that are not leaving, by name.
func (t *Table) pushAddresses() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := make(map[string]string, len(t.ordered))
	for _, m := range t.ordered {
		if !m.Self && !m.State.Leaving {
			addresses[m.Name] = m.State.SyncAddress
		}
	}
	return addresses
}

// Announce sends a join message with the local state to the daemons at addresses,
// keyed by name. Each replies with its state.
func (f *Fleet) Announce(addresses map[string]string) {
	data := f.encodeWithLocalState(&pb.SyncRequest{Joined: true})
	for name, address := range addresses {
		f.sendTo(name, address, data)
	}
}

// ReportStoreContact tells the named members that the store has just answered this
// daemon's watch of the configuration.
func (f *Fleet) ReportStoreContact(names []string) {
	message := &pb.SyncRequest{From: f.Table.self, ConfigVersion: f.Options.Config.Load().Version(), StoreContact: true}
	data, err := proto.Marshal(message)
	if err != nil {
		eventStateRejected.Log(f.Logger, zap.Error(err))
		return
	}
	for _, name := range names {
		if m, ok := f.Table.Member(name); ok && !m.Self {
			f.sendTo(name, m.State.SyncAddress, data)
		}
	}
}

// encodeWithLocalState adds the local state to message and encodes it.
func (f *Fleet) encodeWithLocalState(message *pb.SyncRequest) []byte {
	message.From, message.States = f.Table.self, []*pb.MemberState{f.Table.localState()}
	message.ConfigVersion = f.Options.Config.Load().Version()
	data, err := proto.Marshal(message)
	if err != nil {
		panic("fleet: encode local state: " + err.Error()) // cannot happen: its strings come from JSON and are valid UTF-8
	}
	return data
}

// replyToJoin sends the local state to a daemon that has just started, together
// with the target whose departure its previous process acknowledged.
func (f *Fleet) replyToJoin(joined string) {
	if m, ok := f.Table.Member(joined); ok && !m.Self {
		f.sendTo(m.Name, m.State.SyncAddress, f.encodeWithLocalState(&pb.SyncRequest{Left: f.leftTarget(joined)}))
	}
}

// sendTo sends a datagram to the port of a member's Fleet service.
func (f *Fleet) sendTo(name, address string, data []byte) {
	to, err := netip.ParseAddrPort(address)
	if err == nil {
		_, err = f.Datagrams.WriteTo(data, net.UDPAddrFromAddrPort(to))
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		eventPeerUnreached.Log(f.Logger, zap.String("peer", name), zap.String("address", address), zap.Error(err))
	}
}

// ReceiveDatagrams merges the pushes and join messages of peers until ctx ends.
func (f *Fleet) ReceiveDatagrams(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.Datagrams.Close() })
	defer stop()
	buffer := make([]byte, readBuffer)
	for {
		n, _, err := f.Datagrams.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// A read may also report the refusal of a datagram sent earlier; the socket
			// stays usable.
			eventPeerUnreached.Log(f.Logger, zap.String("reason", "datagram"), zap.Error(err))
			time.Sleep(readPause)
			continue
		}
		if err := f.handleDatagram(buffer[:n]); err != nil {
			eventStateRejected.Log(f.Logger, zap.Error(err))
		}
	}
}

// handleDatagram merges one push or join message.
func (f *Fleet) handleDatagram(data []byte) (err error) {
	message := &pb.SyncRequest{}
	if err := proto.Unmarshal(data, message); err != nil {
		return err
	}
	defer f.recoverPanic(message.GetFrom(), &err)
	f.merge(message.GetStates(), message.GetFacts())
	f.recordConfigVersion(message.GetFrom(), message.GetConfigVersion())
	f.handleLeft(message.GetLeft())
	if message.GetStoreContact() {
		f.HandleStoreContact(message.GetFrom())
	}
	if message.GetJoined() {
		f.replyToJoin(message.GetFrom())
	}
	f.handlePermits(message)
	return nil
}
