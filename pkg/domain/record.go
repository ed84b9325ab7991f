package domain

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// recordKey identifies a record. Of all records with the same key only the newest
// is kept.
type recordKey struct {
	kind    pb.RecordKind
	service string
	key     string
}

func keyOf(r *pb.Record) recordKey {
	return recordKey{kind: r.GetKind(), service: r.GetService(), key: r.GetKey()}
}

// newer reports whether a replaces b, which may be nil. A final record replaces
// any that is not final, so a grant stays taken back in any order of arrival.
func newer(a, b *pb.Record) bool {
	if b == nil {
		return true
	}
	if a.GetFinal() != b.GetFinal() {
		return a.GetFinal()
	}
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetCounter() > b.GetCounter()
}

// GrantKey returns the key of the grant records of one move generation.
func GrantKey(move string, generation uint64) string {
	return fmt.Sprintf("%s/%d", move, generation)
}

// Endpoint is an endpoint with the liveness of its daemon as observed by the
// distributors. It is immutable.
type Endpoint struct {
	*pb.Endpoint
	// Lost is set while the daemon is silent or its whole domain is unreachable.
	// It is an observation by other daemons, separate from the owner's record.
	Lost bool
	// Departed is set when a lease holder declared the daemon departed.
	Departed bool
	// DepartedAt is when this daemon received the record of the departure.
	DepartedAt time.Time
}

// Usable reports whether the endpoint may receive new work.
func (e *Endpoint) Usable() bool {
	return e.GetState() == pb.EndpointState_ENDPOINT_READY && !e.Lost && !e.Departed
}

// Grant grants the new version of a move its share of the calls. It is immutable.
type Grant struct {
	*pb.Grant
	Final bool // taken back
}

// entry is a record with the time at which this daemon applied it.
type entry struct {
	record    *pb.Record
	appliedAt time.Time
	endpoint  *pb.Endpoint // decoded payload of endpoints and liveness
	grant     *pb.Grant
}

// newEntry decodes the payload that views need. It returns false if the record
// cannot be decoded.
func newEntry(r *pb.Record, now time.Time) (*entry, bool) {
	e := &entry{record: r, appliedAt: now}
	switch r.GetKind() {
	case pb.RecordKind_RECORD_ENDPOINT, pb.RecordKind_RECORD_LIVENESS:
		e.endpoint = &pb.Endpoint{}
		return e, proto.Unmarshal(r.GetPayload(), e.endpoint) == nil
	case pb.RecordKind_RECORD_GRANT:
		e.grant = &pb.Grant{}
		return e, proto.Unmarshal(r.GetPayload(), e.grant) == nil
	case pb.RecordKind_RECORD_UNSPECIFIED:
		return nil, false
	}
	return e, true
}

// livenessCounter returns the counter of a liveness record.
//
// A liveness record declares a daemon lost or departed. It has the incarnation of
// the endpoint record to which it applies. Its counter orders it after that
// record, and a departure after a loss. An endpoint record with a larger counter
// refutes it. So the daemon itself decides when it is available again, and both
// distributors create the same record.
func livenessCounter(endpoint *pb.Record, departed bool) uint64 {
	if departed {
		return 2*endpoint.GetCounter() + 1
	}
	return 2 * endpoint.GetCounter()
}

// appliesTo reports whether a liveness record is not refuted by endpoint.
func appliesTo(liveness, endpoint *pb.Record) bool {
	if liveness.GetIncarnation() != endpoint.GetIncarnation() {
		return liveness.GetIncarnation() > endpoint.GetIncarnation()
	}
	return liveness.GetCounter()/2 >= endpoint.GetCounter()
}

func isDeparture(liveness *pb.Record) bool { return liveness.GetCounter()%2 == 1 }

func newLiveness(endpoint *pb.Record, details *pb.Endpoint, departed bool, now time.Time) *pb.Record {
	payload := &pb.Endpoint{
		Name: details.GetName(), Domain: details.GetDomain(), Service: details.GetService(),
		State: pb.EndpointState_ENDPOINT_DOWN,
	}
	if departed {
		payload.DepartedMs = now.UnixMilli()
	}
	return &pb.Record{
		Kind: pb.RecordKind_RECORD_LIVENESS, Service: endpoint.GetService(), Key: endpoint.GetKey(),
		Owner: endpoint.GetOwner(), Incarnation: endpoint.GetIncarnation(),
		Counter: livenessCounter(endpoint, departed), Payload: mustMarshal(payload),
	}
}

func mustMarshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("domain: cannot encode message: " + err.Error()) // only invalid UTF-8 could cause it
	}
	return data
}

// distributed reports whether records of a kind are sent to every subscriber.
// Usage and evidence are only sent to distributors.
func distributed(kind pb.RecordKind) bool {
	switch kind {
	case pb.RecordKind_RECORD_ENDPOINT, pb.RecordKind_RECORD_GRANT,
		pb.RecordKind_RECORD_SUSPECT, pb.RecordKind_RECORD_LIVENESS:
		return true
	}
	return false
}

// urgent reports whether a record stops new work and is therefore sent by both
// distributors, without coalesceDelay.
func urgent(r *pb.Record) bool {
	switch r.GetKind() {
	case pb.RecordKind_RECORD_GRANT:
		return r.GetFinal()
	case pb.RecordKind_RECORD_LIVENESS, pb.RecordKind_RECORD_SUSPECT:
		return true
	case pb.RecordKind_RECORD_ENDPOINT:
		var e pb.Endpoint
		return proto.Unmarshal(r.GetPayload(), &e) == nil && e.GetState() != pb.EndpointState_ENDPOINT_READY
	}
	return false
}

// digestOf returns the contribution of one record to a service's digest, which
// combines records by exclusive or, so that their order does not matter. Endpoints of a
// previous run are left out: only daemons that knew the process before its
// restart have them, so a difference needs no repair.
func digestOf(r *pb.Record) uint64 {
	if !distributed(r.GetKind()) || isPreviousRun(r) {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(r.GetService() + "\x00" + r.GetKey())
	var fixed [21]byte
	binary.LittleEndian.PutUint32(fixed[:], uint32(r.GetKind()))
	binary.LittleEndian.PutUint64(fixed[4:], r.GetIncarnation())
	binary.LittleEndian.PutUint64(fixed[12:], r.GetCounter())
	if r.GetFinal() {
		fixed[20] = 1
	}
	_, _ = d.Write(fixed[:])
	return d.Sum64()
}
