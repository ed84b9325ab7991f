package target

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/keyhome"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// eligibleDelay is the time from an announcement until keys may have their
	// home here. It covers the membership lease (3 s) and the spread of the
	// record, so that no daemon with a valid lease overlooks this one.
	eligibleDelay = 5 * time.Second
	// coldSlotsShare is the part of its slots that a cold target begins with.
	coldSlotsShare = 0.25
	// defaultSlots applies when neither the target nor the service names any.
	defaultSlots = 10
	// spareConnections are opened in advance beyond the slots, to replace those
	// that are closed after an error without a wait of 1 ms.
	spareConnections = 2
	// maxNameBytes bounds the strings of an announcement.
	maxNameBytes = 128
)

// Announcement is what a target says of itself.
type Announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Address is where the target serves HTTP.
	Address string `json:"address"`
	// Instance tells one process from the next, such as a start time. Another
	// instance at the same address means that the earlier one is gone.
	Instance string `json:"instance,omitempty"`
	// Slots and Connections lower the values of the service's configuration.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
}

// check validates an announcement from outside.
func (a *Announcement) check() error {
	fields := []struct{ name, value string }{
		{"service", a.Service},
		{"version", a.Version},
		{"address", a.Address},
		{"instance", a.Instance},
	}
	for _, f := range fields {
		if f.value == "" && f.name != "instance" {
			return &AnnounceError{Field: f.name, Reason: "is missing"}
		}
		if len(f.value) > maxNameBytes {
			return &AnnounceError{Field: f.name, Reason: fmt.Sprintf("is longer than %d bytes", maxNameBytes)}
		}
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return &AnnounceError{Field: "address", Reason: "is not host:port"}
	}
	if a.Slots < 0 || a.Connections < 0 {
		return &AnnounceError{Field: "slots and connections", Reason: "must not be negative"}
	}
	return nil
}

// Limits are the values of a service's configuration that bound its targets.
type Limits struct {
	Slots, Connections int
	ColdStart          time.Duration
}

// RecordPublisher sends this daemon's records to its distributors.
type RecordPublisher interface {
	Publish(record *pb.Record)
}

// Connector is the part of a backend that follows the announced target.
type Connector interface {
	SetTarget(address string, limit, ahead int)
	Accepts(ctx context.Context) bool
}

// LocalOptions are the parts that a Local works with.
type LocalOptions struct {
	Name, Address, Domain string // of this daemon
	Incarnation           uint64
	Limits                func(service string) Limits
	Connector             Connector
	Records               RecordPublisher
	Logger                *zap.Logger
}

// Local is the target on this VM as its daemon sees it: announced, ready,
// leaving or down. It owns the endpoint record.
type Local struct {
	options LocalOptions
	gate    *Gate

	mu       sync.Mutex
	target   Announcement
	endpoint *pb.Endpoint // nil until the first announcement
	counter  uint64
	draining bool
	probe    context.CancelFunc // stops the probe of a target that is down
}

// NewLocal returns a Local without a target. The gate's Down option must call
// its Down method.
func NewLocal(options LocalOptions) *Local { return &Local{options: options} }

// SetGate sets the gate that the target's state applies to, before use.
func (l *Local) SetGate(gate *Gate) { l.gate = gate }

// Announce takes the announcement of a target. Repeating it changes nothing.
func (l *Local) Announce(a Announcement) error {
	if err := a.check(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.endpoint
	if l.draining || held.GetState() == pb.EndpointState_ENDPOINT_LEAVING && a.Instance != "" && a.Instance == l.target.Instance {
		return &LeavingError{Instance: l.target.Instance}
	}
	present := held != nil && held.GetDepartedMs() == 0
	if present && l.target == a && held.GetState() == pb.EndpointState_ENDPOINT_READY {
		return nil
	}
	if present && l.target.Instance != a.Instance {
		// The earlier process ended without withdrawing.
		l.gate.Crash()
	}
	sameService := held != nil && l.target.Service == a.Service
	l.target = a
	if held != nil && (!present || !sameService) {
		l.publishStay()
		present = false
	}
	l.ready(present)
	eventAnnounced.Log(l.options.Logger, zap.String("service", a.Service), zap.String("version", a.Version),
		zap.String("address", a.Address), zap.Int32("slots", l.endpoint.GetSlots()))
	return nil
}

// ready publishes the endpoint as ready. A target that was restarted while its
// daemon lived on keeps its place as a home, since the keys are still known.
func (l *Local) ready(keepEligible bool) {
	limits := l.limits()
	now := time.Now()
	endpoint := &pb.Endpoint{
		Name: l.options.Name, Address: l.options.Address, Domain: l.options.Domain,
		Service: l.target.Service, Version: l.target.Version,
		State: pb.EndpointState_ENDPOINT_READY, Slots: int32(limits.Slots),
		ReadySinceMs:    now.UnixMilli(),
		EligibleSinceMs: now.Add(eligibleDelay).UnixMilli(),
	}
	if keepEligible {
		endpoint.EligibleSinceMs = l.endpoint.GetEligibleSinceMs()
	}
	l.stopProbe()
	l.endpoint = endpoint
	l.options.Connector.SetTarget(l.target.Address, limits.Connections, limits.Slots+spareConnections)
	l.gate.Ready(l.target.Service, l.target.Version, rampedSlots(limits, now))
	l.publish()
}

// limits merges the announced and the configured limits.
func (l *Local) limits() Limits {
	limits := l.options.Limits(l.target.Service)
	limits.Slots = lower(limits.Slots, l.target.Slots, defaultSlots)
	limits.Connections = lower(limits.Connections, l.target.Connections, limits.Slots)
	limits.Slots = min(limits.Slots, limits.Connections)
	return limits
}

// lower returns the smaller of two values of which 0 means none.
func lower(a, b, none int) int {
	switch {
	case a <= 0 && b <= 0:
		return none
	case a <= 0:
		return b
	case b <= 0:
		return a
	}
	return min(a, b)
}

// rampedSlots gives a cold target its slots in proportion to the cold start
// time that has passed.
func rampedSlots(limits Limits, since time.Time) func(time.Time) int {
	return func(now time.Time) int {
		passed := now.Sub(since)
		if passed >= limits.ColdStart {
			return limits.Slots
		}
		share := coldSlotsShare + (1-coldSlotsShare)*float64(passed)/float64(limits.ColdStart)
		return max(1, int(share*float64(limits.Slots)))
	}
}

// Drained tells how a planned stop went.
type Drained struct {
	// Cut counts the calls that did not end by the deadline.
	Cut int `json:"cut"`
	// Took is the time until the last call ended.
	Took time.Duration `json:"tookNs"`
}

// Leave stops new work for a planned stop and waits until the calls that run
// have ended or ctx ends. The record is published first, so that callers learn
// of it while the drain goes on.
func (l *Local) Leave(ctx context.Context) Drained {
	start := time.Now()
	l.mu.Lock()
	l.draining = true
	l.gate.Leave()
	if e := l.endpoint; e != nil && e.GetState() != pb.EndpointState_ENDPOINT_LEAVING {
		l.change(func(e *pb.Endpoint) {
			e.State = pb.EndpointState_ENDPOINT_LEAVING
			e.DepartedMs = start.UnixMilli()
		})
	}
	l.stopProbe()
	l.mu.Unlock()
	eventLeaving.Log(l.options.Logger)
	drained := Drained{Cut: l.gate.Drain(ctx)}
	drained.Took = time.Since(start)
	l.mu.Lock()
	l.draining = false
	l.mu.Unlock()
	eventDrained.Log(l.options.Logger, zap.Int("cut", drained.Cut), zap.Duration("took", drained.Took))
	return drained
}

// Down records that the target was seen to be down, and probes it until it
// accepts connections or announces itself again. No probe is sent otherwise.
func (l *Local) Down() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoint.GetState() != pb.EndpointState_ENDPOINT_READY {
		return
	}
	eventDown.Log(l.options.Logger, zap.String("service", l.target.Service))
	l.change(func(e *pb.Endpoint) { e.State = pb.EndpointState_ENDPOINT_DOWN })
	ctx, cancel := context.WithCancel(context.Background())
	l.probe = cancel
	go l.probeUntilUp(ctx)
}

func (l *Local) stopProbe() {
	if l.probe != nil {
		l.probe()
		l.probe = nil
	}
}

// change publishes a changed copy of the endpoint; published ones are shared.
func (l *Local) change(edit func(e *pb.Endpoint)) {
	next := proto.Clone(l.endpoint).(*pb.Endpoint)
	edit(next)
	l.endpoint = next
	l.publish()
}

func (l *Local) publish() {
	l.publishAs(l.options.Name, l.endpoint)
}

// publishStay publishes the earlier stay of this daemon at a service as a
// departed endpoint of its own, because the main record is about to tell of the
// next stay only. Without it the keys of the earlier stay would move.
func (l *Local) publishStay() {
	stay := proto.Clone(l.endpoint).(*pb.Endpoint)
	stay.State = pb.EndpointState_ENDPOINT_LEAVING
	if stay.GetDepartedMs() == 0 {
		stay.DepartedMs = time.Now().UnixMilli()
	}
	l.publishAs(fmt.Sprintf("%s/%d", l.options.Name, stay.GetDepartedMs()), stay)
}

func (l *Local) publishAs(key string, endpoint *pb.Endpoint) {
	payload, err := proto.Marshal(endpoint)
	if err != nil {
		panic("target: endpoint cannot be encoded: " + err.Error()) // all strings were checked
	}
	l.counter++
	l.options.Records.Publish(&pb.Record{
		Kind: pb.RecordKind_RECORD_ENDPOINT, Service: endpoint.GetService(), Key: key, Owner: l.options.Name,
		Incarnation: l.options.Incarnation, Counter: l.counter, Payload: payload,
	})
}

// Endpoint returns the endpoint record's content, nil before an announcement.
func (l *Local) Endpoint() *pb.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endpoint
}

// StayRetention is the time for which a departed stay must be kept.
const StayRetention = keyhome.DepartedRetention
