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
	// maxDatagram is the size up to which news is pushed in one datagram; with
	// the IP and UDP headers it fits an Ethernet frame.
	maxDatagram = 1400
	// repeatDelay is the time after which news is pushed once more, since
	// datagrams get lost. Exchanges repair what both pushes missed.
	repeatDelay = 150 * time.Millisecond
	// readPause keeps a socket that fails again and again from taking the processor.
	readPause = 20 * time.Millisecond
	// readBuffer holds the largest datagram that UDP carries.
	readBuffer = 64 << 10
)

// news is what a push carries: the own state, and the facts set since the last one.
func (f *Fleet) news() []*pb.SyncRequest {
	message := &pb.SyncRequest{From: f.Table.self, States: []*pb.MemberState{f.Table.ownState()}}
	messages := []*pb.SyncRequest{message}
	size := proto.Size(message)
	for _, fact := range f.takeFresh() {
		// Two bytes each for the tag and the length of the fact.
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

// takeFresh returns the facts that were set here since the last call.
func (f *Fleet) takeFresh() []*pb.Fact {
	f.mu.Lock()
	defer f.mu.Unlock()
	var facts []*pb.Fact
	for key := range f.fresh {
		if fact, ok := f.Table.Fact(key); ok {
			facts = append(facts, &pb.Fact{Key: fact.Key, Rank: fact.Rank, Payload: fact.Payload})
		}
	}
	clear(f.fresh)
	return facts
}

// pushAll sends the news to all members, and once more a little later.
func (f *Fleet) pushAll(ctx context.Context) {
	messages := f.news()
	f.sendAll(ctx, messages)
	time.AfterFunc(repeatDelay, func() {
		if ctx.Err() == nil {
			f.sendAll(ctx, messages)
		}
	})
}

func (f *Fleet) sendAll(ctx context.Context, messages []*pb.SyncRequest) {
	for _, message := range messages {
		data, err := proto.Marshal(message)
		if err != nil {
			eventStateRejected.Log(f.Logger, zap.Error(err))
			continue
		}
		for _, m := range f.Table.Members() {
			if m.Self || m.State.Leaving {
				continue
			}
			if len(data) > maxDatagram {
				f.submit(func() { f.sync(ctx, m.State.SyncAddress, message) })
				continue
			}
			f.sendTo(m.Name, m.State.SyncAddress, data)
		}
	}
}

// Announce tells the daemons at some addresses of this one.
func (f *Fleet) Announce(addresses map[string]string) {
	data := f.encodeOwn(&pb.SyncRequest{Joined: true})
	for name, address := range addresses {
		f.sendTo(name, address, data)
	}
}

// encodeOwn adds the own state to a message and encodes it.
func (f *Fleet) encodeOwn(message *pb.SyncRequest) []byte {
	message.From, message.States = f.Table.self, []*pb.MemberState{f.Table.ownState()}
	data, err := proto.Marshal(message)
	if err != nil {
		panic("fleet: own state cannot be encoded: " + err.Error()) // its strings come from JSON
	}
	return data
}

// greet tells a daemon that has just joined of this one, and what its former
// process said last: it knows neither.
func (f *Fleet) greet(joined string) {
	for _, m := range f.Table.Members() {
		if m.Name == joined && !m.Self {
			f.sendTo(m.Name, m.State.SyncAddress, f.encodeOwn(&pb.SyncRequest{Left: f.leftBeside(joined)}))
		}
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

// ReceiveNews takes the datagrams of other daemons until ctx ends.
func (f *Fleet) ReceiveNews(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.Datagrams.Close() })
	defer stop()
	buffer := make([]byte, readBuffer)
	for {
		n, _, err := f.Datagrams.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// A refused earlier datagram shows here; the socket stays usable.
			eventPeerUnreached.Log(f.Logger, zap.String("reason", "datagram"), zap.Error(err))
			time.Sleep(readPause)
			continue
		}
		message := &pb.SyncRequest{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil {
			eventStateRejected.Log(f.Logger, zap.Error(err))
			continue
		}
		f.take(message.GetStates(), message.GetFacts())
		f.takeLeft(message.GetLeft())
		if message.GetJoined() {
			f.greet(message.GetFrom())
		}
	}
}
