package domain

import (
	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/compress"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// packMin is the size in bytes from which an update is compressed. Smaller
	// updates, such as heartbeats, hardly shrink.
	packMin = 256
	// maxUpdateBytes limits the decompressed size of an update, which may have
	// every bundle of the largest configuration that the design provides for.
	maxUpdateBytes = 64 << 20
)

// packUpdate compresses a large update. Large updates are mostly text, and after
// a mass restart each member daemon receives one.
func packUpdate(u *pb.FeedUpdate) *pb.FeedUpdate {
	if proto.Size(u) < packMin {
		return u
	}
	data, err := proto.Marshal(u)
	if err != nil {
		panic("domain: cannot encode update: " + err.Error()) // only invalid UTF-8 could cause it, and all strings come from JSON
	}
	return &pb.FeedUpdate{Packed: compress.Pack(data)}
}

// UnpackUpdate returns a received update, decompressed if it was packed.
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
