package target_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
)

// TestForwardKeepsTheRecordAtHome guards against running a key twice if a move
// changes the target version between two attempts, and against a key that cannot
// be run any more after its forwarded call was refused as not run.
func TestForwardKeepsTheRecordAtHome(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		var forwarded []*pb.CallHead
		answer := &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Refusal: pb.Refusal_REFUSAL_OVERLOAD}
		d := faketarget.NewDaemon(faketarget.Config{
			Name: "vm-1",
			Forward: func(_ context.Context, head *pb.CallHead, _ []byte) (*pb.AnswerHead, []byte) {
				forwarded = append(forwarded, head)
				return answer, []byte("from v2")
			},
		})
		order := faketarget.Order("c", faketarget.Key(time.Now(), 1), time.Second)
		localVersion := order.GetTargetVersion()
		order.TargetVersion = "v2"

		refused, _ := d.Gate.Do(context.Background(), order, nil)
		assert.Equal(t, refused.GetOutcome(), pb.Outcome_OUTCOME_NOT_RUN)
		answer = &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_ANSWERED, Status: 201}
		_, body := d.Gate.Do(context.Background(), order, nil)
		assert.Equal(t, string(body), "from v2")
		assert.Equal(t, len(forwarded), 2)
		assert.Assert(t, forwarded[1].GetRecorded())

		order.TargetVersion = localVersion
		repeat, body := d.Gate.Do(context.Background(), order, nil)
		assert.Equal(t, repeat.GetStatus(), int32(201))
		assert.Equal(t, string(body), "from v2")
		assert.Equal(t, len(d.Target.Runs()), 0, "the repeat ran a second time")
	})
}
