package target_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/keyhome"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
)

// endpoints decodes the latest published endpoint record of each key and checks
// the order of the records.
func endpoints(t *testing.T, d *faketarget.Daemon) map[string]*pb.Endpoint {
	records, _ := d.Published()
	latest := map[string]*pb.Endpoint{}
	for i, r := range records {
		assert.Equal(t, r.GetKind(), pb.RecordKind_RECORD_ENDPOINT)
		assert.Equal(t, r.GetOwner(), d.Name)
		assert.Equal(t, r.GetCounter(), uint64(i+1))
		e := &pb.Endpoint{}
		assert.NilError(t, proto.Unmarshal(r.GetPayload(), e))
		latest[r.GetKey()] = e
	}
	return latest
}

// TestEndpointRecord guards against an endpoint record that does not follow the
// target's state through an announcement, a crash, a restart and a planned stop.
func TestEndpointRecord(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: faketarget.Script{Restart: 300 * time.Millisecond}})
		e := endpoints(t, d)["vm-1"]
		assert.Equal(t, e.GetState(), pb.EndpointState_ENDPOINT_READY)
		assert.Equal(t, e.GetSlots(), int32(10))
		assert.Assert(t, e.GetEligibleSinceMs() >= time.Now().Add(3*time.Second).UnixMilli(), "eligible before all daemons have the record")
		eligible := e.GetEligibleSinceMs()

		assert.NilError(t, d.Local.Announce(faketarget.Announcement("first")))
		records, _ := d.Published()
		assert.Equal(t, len(records), 1, "a repeated announcement changed the record")

		d.Target.Crash()
		_, _ = d.Gate.Do(context.Background(), faketarget.Call("c", "/", time.Second), nil)
		assert.Equal(t, endpoints(t, d)["vm-1"].GetState(), pb.EndpointState_ENDPOINT_DOWN)
		time.Sleep(5 * time.Second)
		e = endpoints(t, d)["vm-1"]
		assert.Equal(t, e.GetState(), pb.EndpointState_ENDPOINT_READY)
		assert.Equal(t, e.GetEligibleSinceMs(), eligible, "a restart of the target changed the home of its keys")

		left := time.Now().UnixMilli()
		d.Local.Leave(t.Context())
		e = endpoints(t, d)["vm-1"]
		assert.Equal(t, e.GetState(), pb.EndpointState_ENDPOINT_LEAVING)
		assert.Equal(t, e.GetDepartedMs(), left)
		var leaving *target.LeavingError
		assert.Assert(t, asError(d.Local.Announce(faketarget.Announcement("first")), &leaving), "a leaving instance was accepted again")
	})
}

func asError[T error](err error, as *T) bool {
	got, ok := err.(T)
	*as = got
	return ok
}

// TestReannouncementKeepsEarlierKeys guards against running a key twice if its target
// stops as planned and is announced again. Keys created before the stop are only
// looked up at this daemon and run nowhere.
func TestReannouncementKeepsEarlierKeys(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1"})
		time.Sleep(10 * time.Second)
		earlierKey, unusedKey := faketarget.Key(time.Now(), 1), faketarget.Key(time.Now(), 2)
		first, _ := d.Gate.Do(context.Background(), faketarget.Order("a", earlierKey, time.Second), nil)
		assert.Equal(t, first.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
		time.Sleep(2 * time.Second)
		d.Local.Leave(t.Context())
		time.Sleep(time.Second)
		assert.NilError(t, d.Local.Announce(faketarget.Announcement("second")))
		var view []*pb.Endpoint
		for _, e := range endpoints(t, d) {
			view = append(view, e)
		}
		assert.Equal(t, len(view), 2)
		d.Endpoints.Store(new(func() []*pb.Endpoint { return view }))
		time.Sleep(10 * time.Second)
		home := keyhome.Home(unusedKey, keyhome.CreatedMS(unusedKey), view, time.Now())
		assert.Equal(t, home.Status, keyhome.LookupOnly)
		repeat, _ := d.Gate.Do(context.Background(), faketarget.Order("a", earlierKey, time.Second), nil)
		assert.Equal(t, repeat.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
		unusedReply, _ := d.Gate.Do(context.Background(), faketarget.Order("b", unusedKey, time.Second), nil)
		assert.Equal(t, unusedReply.GetOutcome(), pb.Outcome_OUTCOME_UNKNOWN)
		newReply, _ := d.Gate.Do(context.Background(), faketarget.Order("c", faketarget.Key(time.Now(), 3), time.Second), nil)
		assert.Equal(t, newReply.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
		assert.Equal(t, len(d.Target.Runs()), 2)
	})
}

// TestReturnAfterDeparture guards against a daemon that remains the home of keys
// created after it was declared departed: another home may have run them.
func TestReturnAfterDeparture(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1"})
		time.Sleep(10 * time.Second)
		earlierKey := faketarget.Key(time.Now(), 1)
		time.Sleep(2 * time.Second)
		departed := time.Now().UnixMilli()
		time.Sleep(5 * time.Second)
		laterKey := faketarget.Key(time.Now(), 2)
		time.Sleep(time.Second)
		d.Local.Rejoin(departed)
		var view []*pb.Endpoint
		for _, e := range endpoints(t, d) {
			view = append(view, e)
		}
		otherEndpoint := &pb.Endpoint{Name: "vm-2", EligibleSinceMs: 1, State: pb.EndpointState_ENDPOINT_READY}
		view = append(view, otherEndpoint)
		time.Sleep(10 * time.Second)
		home := keyhome.Home(laterKey, keyhome.CreatedMS(laterKey), view, time.Now())
		assert.Equal(t, home.Endpoint.GetName(), "vm-2", "home of a key created while vm-1 was departed")
		for _, e := range view {
			if e.GetName() == "vm-1" && e.GetDepartedMs() == departed {
				assert.Assert(t, e.GetEligibleSinceMs() < keyhome.CreatedMS(earlierKey), "the earlier registration must keep its keys")
				return
			}
		}
		t.Fatal("the earlier registration is not published")
	})
}

// TestColdStart guards against sending the full load to a cold target, and against
// ignoring the limits of the announcement or of the service.
func TestColdStart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{
			Name: "vm-1", Script: withLatency(100 * time.Millisecond), Unannounced: true,
			Limits: target.Limits{Slots: 10, Connections: 130, ColdStart: 10 * time.Second},
		})
		a := faketarget.Announcement("first")
		a.Slots = 8
		assert.NilError(t, d.Local.Announce(a))
		for _, slots := range []int32{2, 5, 8} { // after 0, 5 and 10 s
			for range 40 {
				doAsync(context.Background(), d, faketarget.Call("c", "/", time.Second))
			}
			synctest.Wait()
			answer, _ := d.Gate.Do(context.Background(), faketarget.Call("c", "/", time.Millisecond), nil)
			assert.Equal(t, answer.GetLoad().GetSlots(), slots)
			assert.Equal(t, answer.GetLoad().GetInUse(), slots)
			time.Sleep(5 * time.Second)
		}
	})
}

// TestProbesOnlyWhileDown guards against probing a target that responds to calls,
// and against probing a target that is down at a constant high rate.
func TestProbesOnlyWhileDown(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Script: faketarget.Script{Restart: time.Minute}})
		for range 100 {
			_, _ = d.Gate.Do(context.Background(), faketarget.Call("c", "/", time.Second), nil)
			time.Sleep(time.Second)
		}
		assert.Equal(t, d.Target.Probes(), 0)
		d.Target.Crash()
		for range 30 {
			_, _ = d.Gate.Do(context.Background(), faketarget.Call("c", "/", time.Second), nil)
			time.Sleep(time.Second)
		}
		assert.Assert(t, d.Target.Probes() >= 5 && d.Target.Probes() <= 30, "%d probes in 30 s", d.Target.Probes())
		time.Sleep(time.Minute)
		answer, _ := d.Gate.Do(context.Background(), faketarget.Call("c", "/", time.Second), nil)
		assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
	})
}

// TestAnnounceHTTP guards against wrong statuses and bodies of the announcement
// API, over a TCP listener.
func TestAnnounceHTTP(t *testing.T) {
	d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Unannounced: true, Logger: zap.NewNop()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := target.NewAnnounceServer(listener, d.Local)
	go func() { _ = server.Run() }()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		_ = server.Close(context.Background())
	})
	url := "http://" + listener.Addr().String() + target.AnnouncePath
	send := func(method, query, body string) (int, map[string]any) {
		request, err := http.NewRequest(method, url+query, strings.NewReader(body))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		var got map[string]any
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&got))
		return response.StatusCode, got
	}
	status, _ := send("GET", "", "")
	assert.Equal(t, status, 404)
	status, got := send("PUT", "", `{"service":"orderdesk","version":"v1"}`)
	assert.Equal(t, status, 400)
	assert.Equal(t, got["error"], "target: announcement: address is missing")
	status, _ = send("PUT", "", `{`)
	assert.Equal(t, status, 400)
	valid := `{"service":"orderdesk","version":"v1","address":"127.0.0.1:9","instance":"1","slots":3}`
	status, got = send("PUT", "", valid)
	assert.Equal(t, status, 200)
	assert.Equal(t, got["slots"], 3.0)
	answer, _ := d.Gate.Do(context.Background(), faketarget.Call("c", "/", time.Second), nil)
	assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED)
	status, _ = send("DELETE", "?drain=never", "")
	assert.Equal(t, status, 400)
	status, got = send("DELETE", "?drain=1s", "")
	assert.Equal(t, status, 200)
	assert.Equal(t, got["cut"], 0.0)
	status, _ = send("PUT", "", valid)
	assert.Equal(t, status, 409)
}
