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
		HasBundle:     d.hasBundle,
		ConfigVersion: func() uint64 { return d.member.Snapshot().Version() },
		Suspects:      suspectPublisher{name: d.settings.Name, records: d.member},
		Forward: func(ctx context.Context, head *pb.CallHead, body []byte) (*pb.AnswerHead, []byte) {
			return d.router.Forward(ctx, head, body)
		},
		OnConfigVersion: d.member.RecordVersion,
		OnDown:          func() { d.local.MarkDown() },
		Logger:          d.decisions,
	})
	d.local = target.NewLocal(target.LocalOptions{
		Name: d.settings.Name, Address: d.settings.Advertise, Domain: d.settings.Domain,
		Incarnation: d.member.Incarnation(), Limits: d.targetLimits, Connector: d.backend,
		Records: memberPublisher{d.member}, Logger: d.logger,
	})
	d.local.SetGate(d.gate)
	d.announce = target.NewAnnounceServer(d.listeners.announce, d.local)
	var err error
	d.mesh, err = link.NewServer(meshService{Server: d.roles, gate: d.gate}, d.tasks, d.logger)
	return err
}

func (d *Daemon) hasBundle(service string) bool {
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

// memberPublisher publishes records with the owner, incarnation and counter of the
// member daemon. The member daemon renumbers the endpoint record when it refutes
// the loss of its endpoint; a record with a counter from another sequence would
// then be rejected as stale.
type memberPublisher struct{ member *domain.Member }

// Publish implements target.RecordPublisher.
func (m memberPublisher) Publish(record *pb.Record) {
	record.Owner, record.Incarnation, record.Counter = "", 0, 0
	m.member.Publish(record)
}

// suspectPublisher publishes the requests that were in flight at a target crash.
type suspectPublisher struct {
	name    string // of this daemon
	records target.RecordPublisher
}

// PublishSuspect implements target.SuspectPublisher. The key contains the daemon's
// name, so that records of different daemons do not replace each other: the
// crashes of several targets are summed.
func (p suspectPublisher) PublishSuspect(service string, suspect *pb.Suspect) {
	p.records.Publish(&pb.Record{
		Kind: pb.RecordKind_RECORD_SUSPECT, Service: service,
		Key: strconv.FormatUint(suspect.GetFingerprint(), 16) + "/" + p.name, Payload: encode(suspect),
	})
}

// encode marshals a message that this process created. It panics on an error,
// which only invalid UTF-8 in a string could cause.
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

// usagePublisher publishes the usage of members that use a large part of their
// allowance.
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
		Store: d.store, Logger: d.logger, Local: d.cachedContent,
		OnAccepted: d.pushHead, MoveDone: d.moveDone,
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

// cachedContent returns the content of a bundle in the current snapshot, which
// saves the acceptor a store read.
func (d *Daemon) cachedContent(digest string) ([]byte, bool) {
	if content, ok := d.member.Snapshot().Content()[digest]; ok {
		return content, true
	}
	return nil, false
}
