package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// stampingPublisher stamps records like a daemon and applies them to a table.
type stampingPublisher struct {
	name        string
	incarnation uint64
	table       *domain.Table
}

func (p stampingPublisher) Publish(r *pb.Record) {
	r.Owner, r.Incarnation, r.Counter = p.name, p.incarnation, 1
	p.table.Apply(r)
}

// TestSuspectsOfTwoDaemons guards against a suspect record that replaces the
// record of another daemon. A request that crashed two targets must be refused, so
// the table must keep the records of both daemons, in any order of arrival.
func TestSuspectsOfTwoDaemons(t *testing.T) {
	for _, first := range []uint64{5, 9} {
		table := domain.NewTable()
		for _, publisher := range []stampingPublisher{{"vm-a", first, table}, {"vm-b", 7, table}} {
			suspectPublisher{name: publisher.name, records: publisher}.PublishSuspect("s", &pb.Suspect{Fingerprint: 1, Crashes: 1})
		}
		assert.Equal(t, len(table.Records(pb.RecordKind_RECORD_SUSPECT, "s")), 2)
	}
}
