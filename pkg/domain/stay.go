package domain

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// stayMark is the part of a record's key that marks the earlier stay of a
// daemon that was restarted.
const stayMark = "/restarted/"

// isEarlierStay reports whether a record was made by earlierStay.
func isEarlierStay(r *pb.Record) bool {
	return r.GetKind() == pb.RecordKind_RECORD_ENDPOINT && strings.Contains(r.GetKey(), stayMark)
}

// earlierStay returns the endpoint of an earlier process of a daemon as a
// departed one, next to the record of the later process; nil if both records
// tell of the same stay. A daemon that was killed has lost its keys and cannot
// tell that it was there. Without the earlier stay the keys that it had run
// would get another home, and run again.
//
// Each table makes the record itself, because a distributor that was restarted
// meanwhile may know the later process only.
func earlierStay(earlier, later *entry, departed *entry) *pb.Record {
	r := earlier.record
	if r.GetKind() != pb.RecordKind_RECORD_ENDPOINT || r.GetKey() != r.GetOwner() ||
		r.GetIncarnation() >= later.record.GetIncarnation() ||
		earlier.endpoint.GetEligibleSinceMs() == later.endpoint.GetEligibleSinceMs() {
		return nil
	}
	stay := proto.Clone(earlier.endpoint).(*pb.Endpoint)
	stay.State = pb.EndpointState_ENDPOINT_LEAVING
	if stay.GetDepartedMs() == 0 {
		// The incarnation is the time at which the later process started.
		stay.DepartedMs = int64(later.record.GetIncarnation())
		if departed != nil && concerns(departed.record, r) && saysDeparted(departed.record) {
			stay.DepartedMs = min(stay.GetDepartedMs(), departed.endpoint.GetDepartedMs())
		}
	}
	return &pb.Record{
		Kind: r.GetKind(), Service: r.GetService(), Key: fmt.Sprintf("%s%s%d", r.GetOwner(), stayMark, r.GetIncarnation()),
		Owner: r.GetOwner(), Incarnation: r.GetIncarnation(), Counter: r.GetCounter(), Payload: mustMarshal(stay),
	}
}
