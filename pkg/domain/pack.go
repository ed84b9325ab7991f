package domain

import (
	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/compress"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// packMin is the size in bytes from which an update is compressed. Smaller
	// ones, such as heartbeats, hardly shrink.
	packMin = 256
	// maxUpdateBytes bounds a received update: every bundle of the target size.
	maxUpdateBytes = 64 << 20
)

// packUpdate compresses a large update. It is mostly text, and a mass restart
// sends one to every member daemon.
func packUpdate(u *pb.FeedUpdate) *pb.FeedUpdate {
	if proto.Size(u) < packMin {
		return u
	}
	data, err := proto.Marshal(u)
	if err != nil {
		panic("domain: update cannot be encoded: " + err.Error()) // its strings come from JSON
	}
	return &pb.FeedUpdate{Packed: compress.Pack(data)}
}

// UnpackUpdate returns the update that a distributor sent.
func UnpackUpdate(u *pb.FeedUpdate) (*pb.FeedUpdate, error) {
	if len(u.GetPacked()) == 0 {
		return u, nil
	}
	data, err := compress.Unpack(u.GetPacked(), maxUpdateBytes)
	if err != nil {
		return nil, err
	}
	unpacked := &pb.FeedUpdate{}
	return unpacked, proto.Unmarshal(data, unpacked)
}
