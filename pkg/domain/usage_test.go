package domain_test

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/domain/domaintest"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// TestSharesOfALimit guards against daemons that each grant a member its whole
// limit. The shares that the distributors return must add up to the limit over all
// domains, in proportion to the calls at each daemon.
func TestSharesOfALimit(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		service := domaintest.ServiceName(0)
		rates := map[*domaintest.Node]float64{}
		for i := range shape.Domains {
			_, members := f.Distributors(i)
			rates[members[0]] = 60 * float64(i+1)
		}
		total := 0.0
		for _, rate := range rates {
			total += rate
		}
		for range 4 {
			for n, rate := range rates {
				payload, err := proto.Marshal(&pb.Usage{Route: "main", Member: "shop", CallsPerSecond: rate})
				assert.NilError(t, err)
				n.Member.Publish(&pb.Record{Kind: pb.RecordKind_RECORD_USAGE, Service: service, Key: "main/shop", Payload: payload})
			}
			time.Sleep(time.Second)
		}
		sum := 0.0
		for n, rate := range rates {
			share := shareOf(t, n, service)
			want := domaintest.MemberLimit * rate / total
			assert.Assert(t, share > 0.8*want && share < 1.2*want, "%s has a share of %v, want %v", n.Name, share, want)
			sum += share
		}
		assert.Assert(t, sum < 1.1*domaintest.MemberLimit, "the shares add up to %v, more than 1.1 times the limit", sum)
	})
}

// shareOf returns the share that a distributor returned to the daemon.
func shareOf(t *testing.T, n *domaintest.Node, service string) float64 {
	t.Helper()
	share := 0.0
	for _, record := range n.Member.Table().Records(pb.RecordKind_RECORD_USAGE, service) {
		var usage pb.Usage
		assert.NilError(t, proto.Unmarshal(record.GetPayload(), &usage))
		if strings.HasSuffix(record.GetKey(), "#share") {
			share = usage.GetSharePerSecond()
		}
	}
	return share
}
