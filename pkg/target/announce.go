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
	// eligibleDelay is the time from an announcement until this daemon may be the
	// home of keys. It covers the membership lease (3 s) and the propagation of
	// the endpoint record, so that every daemon with a valid lease has the record
	// by then.
	eligibleDelay = 5 * time.Second
	// initialSlotShare is the fraction of its slots that a cold target starts with.
	initialSlotShare = 0.25
	// defaultSlots applies if neither the target nor the service sets a number.
	defaultSlots = 10
	// spareConnections is the number of connections opened in advance beyond the
	// slots. They replace connections that were closed after an error, which saves
	// the 1 ms for opening a new one.
	spareConnections = 2
	// maxNameBytes is the maximum length of each string in an announcement.
	maxNameBytes = 128
)

// Announcement describes a target to its daemon.
type Announcement struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// Address is where the target serves HTTP.
	Address string `json:"address"`
	// Instance identifies the process, for example by its start time. A new
	// instance replaces the previous one, which has ended.
	Instance string `json:"instance,omitempty"`
	// Slots and Connections are upper bounds; the lower of these and the values of
	// the service's configuration apply. 0 sets no bound.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
}

// validate checks the fields of an announcement received from a target.
func (a *Announcement) validate() error {
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

// Limits holds the target limits of a service's configuration.
type Limits struct {
	Slots, Connections int
	ColdStart          time.Duration
}

// RecordPublisher sends this daemon's records to its distributors.
type RecordPublisher interface {
	Publish(record *pb.Record)
}

// Connector is the part of a backend that connects to the announced target.
type Connector interface {
	SetTarget(address string, limit, minOpen int)
	Accepts(ctx context.Context) bool
}

// LocalOptions holds the dependencies of a Local.
type LocalOptions struct {
	Name, Address, Domain string // of this daemon
	Incarnation           uint64
	Limits                func(service string) Limits
	Connector             Connector
	Records               RecordPublisher
	Logger                *zap.Logger
}

// Local tracks the state of the target on this VM (ready, leaving or down) and
// publishes its endpoint record.
type Local struct {
	options LocalOptions
	gate    *Gate

	mu          sync.Mutex
	target      Announcement
	endpoint    *pb.Endpoint // nil until the first announcement
	counter     uint64
	draining    bool
	cancelProbe context.CancelFunc // stops the probe of a target that is down
}

// NewLocal returns a Local without a target. If the gate detects that the target
// is down, its callback must mark the Local as down.
func NewLocal(options LocalOptions) *Local { return &Local{options: options} }

// SetGate sets the gate to which changes of the target's state are applied. It
// must be called before any other method.
func (l *Local) SetGate(gate *Gate) { l.gate = gate }

// Announce processes the announcement of a target. It is idempotent.
func (l *Local) Announce(announcement Announcement) error {
	if err := announcement.validate(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.endpoint
	if l.draining || previous.GetState() == pb.EndpointState_ENDPOINT_LEAVING && announcement.Instance != "" && announcement.Instance == l.target.Instance {
		return &LeavingError{Instance: l.target.Instance}
	}
	registered := previous != nil && previous.GetDepartedMs() == 0
	if registered && l.target == announcement && previous.GetState() == pb.EndpointState_ENDPOINT_READY {
		return nil
	}
	if registered && l.target.Instance != announcement.Instance {
		// The previous process ended without withdrawing.
		l.gate.RecordCrash()
	}
	sameService := previous != nil && l.target.Service == announcement.Service
	l.target = announcement
	if previous != nil && (!registered || !sameService) {
		l.publishDeparted()
		registered = false
	}
	l.markReady(registered)
	eventAnnounced.Log(l.options.Logger, zap.String("service", announcement.Service), zap.String("version", announcement.Version),
		zap.String("address", announcement.Address), zap.Int32("slots", l.endpoint.GetSlots()))
	return nil
}

// markReady publishes the endpoint as ready. With keepEligible the endpoint keeps
// its eligibility time: if only the target was restarted, the daemon still has
// the key records and remains the home of its keys.
func (l *Local) markReady(keepEligible bool) {
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

// limits combines the announced and the configured limits.
func (l *Local) limits() Limits {
	limits := l.options.Limits(l.target.Service)
	limits.Slots = minPositive(limits.Slots, l.target.Slots, defaultSlots)
	limits.Connections = minPositive(limits.Connections, l.target.Connections, limits.Slots)
	limits.Slots = min(limits.Slots, limits.Connections)
	return limits
}

// minPositive returns the smaller of the positive values of a and b, or fallback
// if neither is positive.
func minPositive(a, b, fallback int) int {
	switch {
	case a <= 0 && b <= 0:
		return fallback
	case a <= 0:
		return b
	case b <= 0:
		return a
	}
	return min(a, b)
}

// rampedSlots returns a function that raises the slots of a cold target linearly
// over the cold start time, from initialSlotShare to all of them.
func rampedSlots(limits Limits, startedAt time.Time) func(time.Time) int {
	return func(now time.Time) int {
		elapsed := now.Sub(startedAt)
		if elapsed >= limits.ColdStart {
			return limits.Slots
		}
		share := initialSlotShare + (1-initialSlotShare)*float64(elapsed)/float64(limits.ColdStart)
		return max(1, int(share*float64(limits.Slots)))
	}
}

// DrainResult is the result of a planned stop.
type DrainResult struct {
	// Cut is the number of calls that had not ended by the deadline.
	Cut int `json:"cut"`
	// Elapsed is the time until the last call ended or the deadline passed.
	Elapsed time.Duration `json:"tookNs"`
}

// Leave starts a planned stop: it rejects new calls and waits until the running
// calls have ended or ctx is done. The endpoint record is published before the
// wait, so that callers select other targets during the drain.
func (l *Local) Leave(ctx context.Context) DrainResult {
	start := time.Now()
	l.mu.Lock()
	l.draining = true
	l.gate.Leave()
	if e := l.endpoint; e != nil && e.GetState() != pb.EndpointState_ENDPOINT_LEAVING {
		l.update(func(e *pb.Endpoint) {
			e.State = pb.EndpointState_ENDPOINT_LEAVING
			e.DepartedMs = start.UnixMilli()
		})
	}
	l.stopProbe()
	l.mu.Unlock()
	eventLeaving.Log(l.options.Logger)
	result := DrainResult{Cut: l.gate.Drain(ctx)}
	result.Elapsed = time.Since(start)
	l.mu.Lock()
	l.draining = false
	l.mu.Unlock()
	eventDrained.Log(l.options.Logger, zap.Int("cut", result.Cut), zap.Duration("took", result.Elapsed))
	return result
}

// Rejoin publishes the endpoint again after a distributor declared this daemon
// departed at the given time. Other homes may have accepted its keys since then,
// so the endpoint becomes eligible only after the delay of a new endpoint, and
// its previous registration is published as departed.
func (l *Local) Rejoin(departedMS int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoint == nil || l.endpoint.GetDepartedMs() != 0 {
		return
	}
	departed := proto.Clone(l.endpoint).(*pb.Endpoint)
	departed.DepartedMs = departedMS
	l.publishDepartedEndpoint(departed)
	l.update(func(e *pb.Endpoint) { e.EligibleSinceMs = time.Now().Add(eligibleDelay).UnixMilli() })
}

// MarkDown marks a ready target as down and probes it until it accepts connections
// or announces itself again. Targets in other states are not probed.
func (l *Local) MarkDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.endpoint.GetState() != pb.EndpointState_ENDPOINT_READY {
		return
	}
	eventDown.Log(l.options.Logger, zap.String("service", l.target.Service))
	l.update(func(e *pb.Endpoint) { e.State = pb.EndpointState_ENDPOINT_DOWN })
	ctx, cancel := context.WithCancel(context.Background())
	l.cancelProbe = cancel
	go l.probeUntilUp(ctx)
}

func (l *Local) stopProbe() {
	if l.cancelProbe != nil {
		l.cancelProbe()
		l.cancelProbe = nil
	}
}

// update publishes a modified copy of the endpoint. The current one is not
// modified in place because Endpoint has returned it to other goroutines.
func (l *Local) update(edit func(e *pb.Endpoint)) {
	next := proto.Clone(l.endpoint).(*pb.Endpoint)
	edit(next)
	l.endpoint = next
	l.publish()
}

func (l *Local) publish() {
	l.publishAs(l.options.Name, l.endpoint)
}

// publishDeparted publishes the current registration of this daemon as a separate
// departed endpoint before the main record is replaced by the next registration.
// Without it the keys of the previous registration would get another home.
func (l *Local) publishDeparted() {
	departed := proto.Clone(l.endpoint).(*pb.Endpoint)
	if departed.GetDepartedMs() == 0 {
		departed.DepartedMs = time.Now().UnixMilli()
	}
	l.publishDepartedEndpoint(departed)
}

func (l *Local) publishDepartedEndpoint(departed *pb.Endpoint) {
	departed.State = pb.EndpointState_ENDPOINT_LEAVING
	l.publishAs(fmt.Sprintf("%s/%d", l.options.Name, departed.GetDepartedMs()), departed)
}

func (l *Local) publishAs(key string, endpoint *pb.Endpoint) {
	payload, err := proto.Marshal(endpoint)
	if err != nil {
		panic("target: encode endpoint: " + err.Error()) // cannot happen: all strings are valid UTF-8
	}
	l.counter++
	l.options.Records.Publish(&pb.Record{
		Kind: pb.RecordKind_RECORD_ENDPOINT, Service: endpoint.GetService(), Key: key, Owner: l.options.Name,
		Incarnation: l.options.Incarnation, Counter: l.counter, Payload: payload,
	})
}

// Endpoint returns the current endpoint, or nil before the first announcement.
// The result must not be modified.
func (l *Local) Endpoint() *pb.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endpoint
}

// DepartedRetention is the time for which the endpoint record of a departed
// registration must be kept.
const DepartedRetention = keyhome.DepartedRetention
