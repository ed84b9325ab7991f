package faketarget

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
)

// Service and Version are the service and target version of fake targets.
const (
	Service = "orderdesk"
	Version = "v1"
)

// Daemon is the target side of a daemon with an in-memory target. Tests may change
// its settings at any time.
type Daemon struct {
	Name   string
	Gate   *target.Gate
	Local  *target.Local
	Target *Target

	// Endpoints returns the endpoints that the daemon has received; by default only its
	// own endpoint, which is eligible for any key.
	Endpoints atomic.Pointer[func() []*pb.Endpoint]
	// LeaseEnd is the expiry time of the membership lease in Unix nanoseconds.
	LeaseEnd  atomic.Int64
	TakenBack atomic.Bool
	NoBundle  atomic.Bool
	// OnCheck is called during the checks of a call, if set.
	OnCheck func()

	mu        sync.Mutex
	Suspects  []*pb.Suspect
	Records   []*pb.Record
	OnRecord  func(*pb.Record)
	OnSuspect func(*pb.Suspect)
}

// Config configures a Daemon.
type Config struct {
	Name   string
	Script Script
	Queue  target.Scheduler
	Limits target.Limits
	Target *Target // nil for a new one
	Logger *zap.Logger
	// Unannounced prevents NewDaemon from announcing the target.
	Unannounced bool
	// Forward runs keyed calls of another target version.
	Forward func(ctx context.Context, head *pb.CallHead, body []byte) (*pb.AnswerHead, []byte)
}

// NewDaemon returns a daemon and announces its target unless config.Unannounced is
// set.
func NewDaemon(config Config) *Daemon {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Limits.Slots == 0 {
		config.Limits = target.Limits{Slots: 10, Connections: 130}
	}
	d := &Daemon{Name: config.Name, Target: config.Target}
	if d.Target == nil {
		d.Target = New(config.Script)
	}
	self := []*pb.Endpoint{{Name: config.Name, EligibleSinceMs: 1}}
	view := func() []*pb.Endpoint { return self }
	d.Endpoints.Store(&view)
	d.LeaseEnd.Store(time.Now().Add(24 * time.Hour).UnixNano())
	d.Local = target.NewLocal(target.LocalOptions{
		Name: config.Name, Address: config.Name + ":1", Domain: "kgl-a", Incarnation: uint64(time.Now().UnixMilli()),
		Limits:    func(string) target.Limits { return config.Limits },
		Connector: d.Target, Records: d, Logger: config.Logger,
	})
	d.Gate = target.NewGate(target.Options{
		Name: config.Name, Backend: d.Target, Queue: config.Queue,
		Lease:     func() time.Time { return time.Unix(0, d.LeaseEnd.Load()) },
		TakenBack: func(string, string) bool { return d.TakenBack.Load() },
		Endpoints: func(string) []*pb.Endpoint { return (*d.Endpoints.Load())() },
		HasBundle: func(string) bool {
			if d.OnCheck != nil {
				d.OnCheck()
			}
			return !d.NoBundle.Load()
		},
		ConfigVersion: func() uint64 { return 7 },
		Suspects:      d, OnDown: d.Local.MarkDown, Logger: config.Logger, Forward: config.Forward,
	})
	d.Local.SetGate(d.Gate)
	if !config.Unannounced {
		if err := d.Local.Announce(Announcement("first")); err != nil {
			panic(err)
		}
	}
	return d
}

// Announcement returns the announcement of an instance of a fake target.
func Announcement(instance string) target.Announcement {
	return target.Announcement{Service: Service, Version: Version, Address: "127.0.0.1:1", Instance: instance}
}

// Publish implements target.RecordPublisher.
func (d *Daemon) Publish(record *pb.Record) {
	d.mu.Lock()
	d.Records = append(d.Records, record)
	d.mu.Unlock()
	if d.OnRecord != nil {
		d.OnRecord(record)
	}
}

// PublishSuspect implements target.SuspectPublisher.
func (d *Daemon) PublishSuspect(_ string, suspect *pb.Suspect) {
	d.mu.Lock()
	d.Suspects = append(d.Suspects, suspect)
	d.mu.Unlock()
	if d.OnSuspect != nil {
		d.OnSuspect(suspect)
	}
}

// Published returns the records and suspects published so far.
func (d *Daemon) Published() ([]*pb.Record, []*pb.Suspect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*pb.Record(nil), d.Records...), append([]*pb.Suspect(nil), d.Suspects...)
}

// Call returns the head of an idempotent call.
func Call(id, path string, deadline time.Duration) *pb.CallHead {
	return &pb.CallHead{
		CallId: id, Service: Service, TargetVersion: Version, Route: "main", Method: "GET", Path: path,
		Member: "shop-1", Idempotent: true, DeadlineMs: deadline.Milliseconds(),
	}
}

// Order returns the head of a non-idempotent call.
func Order(id, key string, deadline time.Duration) *pb.CallHead {
	head := Call(id, "/orders/"+key, deadline)
	head.Method, head.Idempotent, head.Key = "POST", false, key
	return head
}

// Key returns a UUID version 7 with the given creation time. The generator of the
// uuid package cannot be used because its timestamps never decrease, while the
// virtual clock starts anew in each test.
func Key(created time.Time, sequence uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(created.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], sequence)
	id[6] = 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
