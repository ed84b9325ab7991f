package fleet

import (
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// SendPermitRequests sends requests for permits to a member, in one datagram if they
// fit. The caller repeats a request that is not answered.
func (f *Fleet) SendPermitRequests(to string, requests []*pb.PermitRequest) {
	sendPermits(f, to, requests, func(m *pb.SyncRequest, r *pb.PermitRequest) { m.PermitRequests = append(m.PermitRequests, r) })
}

// handlePermits answers the requests and applies the answers in a datagram of a member.
// An answer to another sender would get lost, together with the granted permits.
func (f *Fleet) handlePermits(message *pb.SyncRequest) {
	from := message.GetFrom()
	if _, member := f.Table.Member(from); !member {
		return
	}
	if requests := message.GetPermitRequests(); len(requests) > 0 && f.HandlePermitRequests != nil {
		grants := f.HandlePermitRequests(from, requests)
		sendPermits(f, from, grants, func(m *pb.SyncRequest, g *pb.PermitGrant) { m.PermitGrants = append(m.PermitGrants, g) })
	}
	if grants := message.GetPermitGrants(); len(grants) > 0 && f.HandlePermitGrants != nil {
		f.HandlePermitGrants(from, grants)
	}
}

// sendPermits sends items to a member in as few datagrams as possible. The member may
// have left; the items are dropped then.
func sendPermits[T proto.Message](f *Fleet, to string, items []T, add func(*pb.SyncRequest, T)) {
	m, ok := f.Table.Member(to)
	if !ok || m.Self || len(items) == 0 {
		return
	}
	for len(items) > 0 {
		message := &pb.SyncRequest{From: f.Table.self}
		size := proto.Size(message)
		for len(items) > 0 {
			// Two bytes each for the tag and the length prefix of the item.
			size += proto.Size(items[0]) + 4
			if size > maxDatagram && len(message.GetPermitRequests())+len(message.GetPermitGrants()) > 0 {
				break
			}
			add(message, items[0])
			items = items[1:]
		}
		data, err := proto.Marshal(message)
		if err != nil {
			eventStateRejected.Log(f.Logger, zap.Error(err)) // a name is not valid UTF-8
			return
		}
		f.sendTo(m.Name, m.State.SyncAddress, data)
	}
}
