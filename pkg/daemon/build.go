package daemon

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/accept"
	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
	"nutmegstand.example/nutmegstand/pkg/route/chain"
	"nutmegstand.example/nutmegstand/pkg/target"
)

func (d *Daemon) buildTargetSide() error {
	d.backend = target.NewHTTPBackend()
	d.backend.Headers = func(head *pb.CallHead, received time.Time) []*pb.Header {
		return chain.FromHead(head, received).Headers()
	}
	d.gate = target.NewGate(target.Options{
		Name: d.settings.Name, Backend: d.backend,
		Lease:         d.member.Lease,
		TakenBack:     d.versions.chooser.TakenBack,
		Endpoints:     d.endpoints.Endpoints,
		Holds:         d.holds,
		ConfigVersion: func() uint64 { return d.member.Snapshot().Version() },
		Suspects:      suspectPublisher{name: d.settings.Name, records: d.member},
		Forward: func(ctx context.Context, head *pb.CallHead, body []byte) (*pb.AnswerHead, []byte) {
			return d.router.Forward(ctx, head, body)
		},
		NoteVersion: d.member.NoteVersion,
		Down:        func() { d.local.Down() },
		Logger:      d.decisions,
	})
	d.local = target.NewLocal(target.LocalOptions{
		Name: d.settings.Name, Address: d.settings.Advertise, Domain: d.settings.Domain,
		Incarnation: d.member.Incarnation(), Limits: d.targetLimits, Connector: d.backend,
		Records: memberStamped{d.member}, Logger: d.logger,
	})
	d.local.SetGate(d.gate)
	d.announce = target.NewAnnounceServer(d.listeners.announce, d.local)
	var err error
	d.mesh, err = link.NewServer(meshService{Server: d.roles, gate: d.gate}, d.tasks, d.logger)
	return err
}

func (d *Daemon) holds(service string) bool {
	_, ok := d.member.Snapshot().Bundle(service)
	return ok
}

func (d *Daemon) targetLimits(service string) target.Limits {
	bundle, ok := d.member.Snapshot().Bundle(service)
	if !ok {
		return target.Limits{}
	}
	s := &bundle.Service
	return target.Limits{Slots: s.Slots, Connections: s.Connections, ColdStart: time.Duration(s.ColdStart)}
}

// memberStamped publishes records under the member daemon's own counter. The
// member daemon numbers the endpoint record again when it refutes its loss, and
// a record with a number of its own would then be taken for an older one.
type memberStamped struct{ member *domain.Member }

// Publish implements target.RecordPublisher.
func (m memberStamped) Publish(record *pb.Record) {
	record.Owner, record.Incarnation, record.Counter = "", 0, 0
	m.member.Publish(record)
}

// suspectPublisher spreads the requests that were in flight at a crash.
type suspectPublisher struct {
	name    string // of this daemon
	records target.RecordPublisher
}

// PublishSuspect implements target.SuspectPublisher. The key names the daemon:
// crashes of several targets are added up, so no record may replace another's.
func (p suspectPublisher) PublishSuspect(service string, suspect *pb.Suspect) {
	p.records.Publish(&pb.Record{
		Kind: pb.RecordKind_RECORD_SUSPECT, Service: service,
		Key: strconv.FormatUint(suspect.GetFingerprint(), 16) + "/" + p.name, Payload: encode(suspect),
	})
}

// encode marshals a message of this process, whose strings are valid UTF-8.
func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic("daemon: record cannot be encoded: " + err.Error())
	}
	return data
}

func (d *Daemon) buildCallerSide() error {
	sender := route.NewMeshSender(d.peers)
	router, err := route.New(route.Options{
		Name: d.settings.Name, Domain: d.settings.Domain,
		Config:    configSource{d.member},
		Endpoints: d.endpoints,
		Versions:  d.versions, Sender: sender, Homes: homeFinder{}, Warmer: sender,
		Usage: usagePublisher{d.member}, Meter: d.metrics.Meter, Logger: d.decisions,
	})
	if err != nil {
		return err
	}
	d.router = router
	options := route.EntryOptions{
		Listener: d.listeners.calls, Router: router, Logger: d.decisions,
		MaxBodyBytes: d.settings.Calls.MaxBodyBytes, MaxHeaderBytes: d.settings.Calls.MaxHeaderBytes,
	}
	d.calls = route.NewEntry(options)
	options.Listener, options.Local = d.listeners.local, true
	d.inner = route.NewEntry(options)
	return nil
}

// usagePublisher reports the members that use much of their allowance.
type usagePublisher struct{ records target.RecordPublisher }

// PublishUsage implements route.UsageSink.
func (p usagePublisher) PublishUsage(service string, usage []*pb.Usage) {
	for _, u := range usage {
		p.records.Publish(&pb.Record{
			Kind: pb.RecordKind_RECORD_USAGE, Service: service,
			Key: u.GetRoute() + "/" + u.GetMember(), Payload: encode(u),
		})
	}
}

func (d *Daemon) buildAdmin() error {
	d.acceptor = accept.New(accept.Options{
		Store: d.store, Logger: d.logger, Local: d.heldContent,
		Accepted: d.pushHead, MoveDone: d.moveDone,
	})
	api := admin.Settings{Address: d.settings.Listen.Admin, MaxBodyBytes: d.settings.Admin.MaxBodyBytes}
	if tls := d.settings.Admin.TLS; tls != nil {
		api.TLS = &admin.TLSSettings{CertificateFile: tls.CertificateFile, KeyFile: tls.KeyFile}
	}
	for _, token := range d.settings.Admin.Tokens {
		api.Tokens = append(api.Tokens, admin.Token{
			Name: token.Name, SHA256: token.SHA256, Teams: token.Teams, ReadOnly: token.ReadOnly,
		})
	}
	var err error
	d.admin, err = admin.New(admin.Options{
		Settings: api, Configurations: d.acceptor, Status: d, Moves: d, Explainer: d, Logger: d.logger,
	})
	return err
}

// heldContent saves the acceptor store reads of bundles that the daemon holds.
func (d *Daemon) heldContent(digest string) ([]byte, bool) {
	if content, ok := d.member.Snapshot().Content()[digest]; ok {
		return content, true
	}
	return nil, false
}
