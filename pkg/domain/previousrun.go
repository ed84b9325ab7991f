package domain

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// previousRunInfix marks, in a record's key, an endpoint of a previous run of a
// daemon that was restarted.
const previousRunInfix = "/restarted/"

// isPreviousRun reports whether a record was created by previousRun.
func isPreviousRun(r *pb.Record) bool {
	return r.GetKind() == pb.RecordKind_RECORD_ENDPOINT && strings.Contains(r.GetKey(), previousRunInfix)
}

// previousRun returns a record that keeps the endpoint of an earlier process of a
// daemon, as a departed one, next to the record of the later process. It returns
// nil if both records belong to the same process. A daemon that was killed has
// lost its idempotency keys and cannot announce its previous run. Without this
// record these keys would get another key home, and a repeated call would run again.
//
// Each table creates the record itself, because a distributor that was restarted
// in the meantime may only know the later process.
func previousRun(earlier, later *entry, departed *entry) *pb.Record {
	r := earlier.record
	if r.GetKind() != pb.RecordKind_RECORD_ENDPOINT || r.GetKey() != r.GetOwner() ||
		r.GetIncarnation() >= later.record.GetIncarnation() ||
		earlier.endpoint.GetEligibleSinceMs() == later.endpoint.GetEligibleSinceMs() {
		return nil
	}
	run := proto.Clone(earlier.endpoint).(*pb.Endpoint)
	run.State = pb.EndpointState_ENDPOINT_LEAVING
	if run.GetDepartedMs() == 0 {
		// The incarnation is the time at which the later process started.
		run.DepartedMs = int64(later.record.GetIncarnation())
		if departed != nil && appliesTo(departed.record, r) && isDeparture(departed.record) {
			run.DepartedMs = min(run.GetDepartedMs(), departed.endpoint.GetDepartedMs())
		}
	}
	return &pb.Record{
		Kind: r.GetKind(), Service: r.GetService(), Key: fmt.Sprintf("%s%s%d", r.GetOwner(), previousRunInfix, r.GetIncarnation()),
		Owner: r.GetOwner(), Incarnation: r.GetIncarnation(), Counter: r.GetCounter(), Payload: mustMarshal(run),
	}
}
