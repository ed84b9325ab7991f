package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// owner stamps records as one daemon does and puts them into a table.
type owner struct {
	name        string
	incarnation uint64
	table       *domain.Table
}

func (o owner) Publish(r *pb.Record) {
	r.Owner, r.Incarnation, r.Counter = o.name, o.incarnation, 1
	o.table.Apply(r)
}

// TestSuspectsOfTwoDaemons guards against crashes that are counted once: a
// request that crashed two targets must be refused, so the records of both
// daemons have to hold next to each other in any order.
func TestSuspectsOfTwoDaemons(t *testing.T) {
	for _, first := range []uint64{5, 9} {
		table := domain.NewTable()
		for _, o := range []owner{{"vm-a", first, table}, {"vm-b", 7, table}} {
			suspectPublisher{name: o.name, records: o}.PublishSuspect("s", &pb.Suspect{Fingerprint: 1, Crashes: 1})
		}
		assert.Equal(t, len(table.Records(pb.RecordKind_RECORD_SUSPECT, "s")), 2)
	}
}
