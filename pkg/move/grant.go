package move

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// grantRecord encodes a grant as a record. The generation is part of the key
// because a take-back is final for its generation only.
func grantRecord(owner string, g *pb.Grant) *pb.Record {
	payload, err := proto.Marshal(g)
	if err != nil {
		panic("move: grant cannot be encoded: " + err.Error()) // only invalid UTF-8 fails, and names are checked
	}
	return &pb.Record{
		Kind: pb.RecordKind_RECORD_GRANT, Service: g.GetService(), Owner: owner,
		Key:         fmt.Sprintf("%s/%d", g.GetMove(), g.GetGeneration()),
		Incarnation: g.GetFencing(), Counter: g.GetCounter(),
		Final: g.GetState() == pb.MoveState_MOVE_TAKEN_BACK, Payload: payload,
	}
}

// decodeGrant returns the grant of a record, or nil if the record is not a valid
// grant.
func decodeGrant(record *pb.Record) *pb.Grant {
	if record.GetKind() != pb.RecordKind_RECORD_GRANT {
		return nil
	}
	g := &pb.Grant{}
	if proto.Unmarshal(record.GetPayload(), g) != nil || g.GetService() != record.GetService() {
		return nil
	}
	return g
}
