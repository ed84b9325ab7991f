// Package daemon assembles the nutmegstandd process from its parts: the membership
// in the failure domain, the caller side, the target side, the rollout controllers
// and the administration API. It starts them, drains them and stops them.
package daemon

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/accept"
	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
	"nutmegstand.example/nutmegstand/pkg/settings"
	"nutmegstand.example/nutmegstand/pkg/store/httpstore"
	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// maxTasks is the size of the task pool. A distributor in a mesh of the intended
// size has about 270 member streams and 22 links, each with two tasks; the rest of
// the pool is available for calls.
const maxTasks = 4096

// Daemon is one nutmegstandd process.
type Daemon struct {
	settings  *settings.Settings
	logger    *zap.Logger
	decisions *zap.Logger
	tasks     *ants.Pool
	metrics   *telemetry.Metrics
	listeners *listeners

	store     *httpstore.Client
	peers     *link.Peers
	member    *domain.Member
	roles     *domain.Server
	versions  *versionSelector
	endpoints *endpointSource // shared, so that each view is converted only once

	backend  *target.HTTPBackend
	gate     *target.Gate
	local    *target.Local
	router   *route.Router
	calls    *route.Entry
	inner    *route.Entry
	mesh     *link.Server
	announce *target.AnnounceServer
	acceptor *accept.Acceptor
	admin    *admin.Server

	running             sync.WaitGroup
	lastStoreResponseMS atomic.Int64 // Unix time (ms) of the last store response in storeStatus, 0 for none
}

// StartError reports a part of the daemon that cannot start or that failed.
type StartError struct {
	Part  string
	Cause error
}

func (e *StartError) Error() string { return "daemon: " + e.Part + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// New opens the listeners and builds the parts of the daemon. No part runs before
// Run is called.
func New(cfg *settings.Settings, logger *zap.Logger) (*Daemon, error) {
	d := &Daemon{settings: cfg, logger: logger, decisions: logger}
	if !cfg.Log.Decisions {
		d.decisions = zap.NewNop()
	}
	steps := []struct {
		part  string
		build func() error
	}{
		{"listeners", d.listen},
		{"base", d.buildBase},
		{"target side", d.buildTargetSide},
		{"caller side", d.buildCallerSide},
		{"administration", d.buildAdmin},
	}
	for _, step := range steps {
		if err := step.build(); err != nil {
			d.listeners.close()
			return nil, &StartError{Part: step.part, Cause: err}
		}
	}
	return d, nil
}

func (d *Daemon) listen() error {
	var err error
	d.listeners, err = openListeners(d.settings.Listen)
	return err
}

func (d *Daemon) buildBase() error {
	var err error
	if d.tasks, err = ants.NewPool(maxTasks, ants.WithNonblocking(true)); err != nil {
		return err
	}
	if d.metrics, err = telemetry.NewMetrics(); err != nil {
		return err
	}
	d.store = httpstore.NewClient(d.settings.Store.Address, time.Duration(d.settings.Store.Timeout))
	d.peers = link.NewPeers(link.DialTCP)
	d.member = domain.NewMember(domain.Options{
		Name: d.settings.Name, Address: d.settings.Advertise, Domain: d.settings.Domain,
		Store: d.store, Dial: link.DialTCP, Tasks: d.tasks, Logger: d.logger,
		OnDeclaredDeparted: func(departedMS int64) { d.local.Rejoin(departedMS) },
	})
	d.endpoints = &endpointSource{table: d.member.Table()}
	d.roles = domain.NewServer(d.member)
	d.roles.OnDistributor = d.runControllers
	d.versions = newVersionSelector(d.settings.Name, d.settings.Domain, d.member)
	return nil
}

// meshService serves requests of peer daemons: the gate handles calls, the failure
// domain's server handles all other methods.
type meshService struct {
	*domain.Server
	gate *target.Gate
}

// Call implements pb.DRPCMeshServer.
func (m meshService) Call(stream pb.DRPCMesh_CallStream) error { return m.gate.Serve(stream) }

// Run runs the daemon until ctx ends or a part fails, then shuts down gracefully
// within the drain timeout.
func (d *Daemon) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	eventStarted.Log(d.logger, zap.String("name", d.settings.Name), zap.String("domain", d.settings.Domain),
		zap.String("address", d.settings.Advertise))
	failed := make(chan error, 1)
	d.start(background, failed)
	var err error
	if err = d.serveWhenReady(ctx, failed); err == nil {
		select {
		case <-ctx.Done():
		case err = <-failed:
		}
	}
	d.drain()
	stop()
	d.running.Wait()
	_ = d.peers.Close()
	d.backend.Close()
	d.tasks.Release()
	eventStopped.Log(d.logger)
	return err
}

// start starts the parts that run before the daemon serves calls, such as the
// failure domain, the announcement server and the administration API.
func (d *Daemon) start(ctx context.Context, failed chan<- error) {
	d.run(failed, "member", func() error { return d.member.Run(ctx) })
	d.run(failed, "roles", func() error { return d.roles.Run(ctx) })
	d.run(failed, "daemons", func() error { return d.mesh.Serve(ctx, d.listeners.daemons) })
	d.run(failed, "follow", func() error { d.applyUpdates(ctx); return nil })
	d.run(failed, "router", func() error { d.router.Run(ctx); return nil })
	d.run(failed, "announcements", d.announce.Run)
	d.run(failed, "administration", func() error { return d.admin.Serve(ctx, d.listeners.admin) })
	d.run(failed, "metrics", func() error { return telemetry.ServeMetrics(ctx, d.listeners.metrics, d.metrics, nil) })
}

// serveWhenReady starts serving calls once the snapshot has reached the floor, so
// that a restarted daemon does not serve an older version than before.
func (d *Daemon) serveWhenReady(ctx context.Context, failed chan error) error {
	if err := d.member.WaitReady(ctx); err != nil {
		return nil // the daemon was stopped before it was ready
	}
	eventReady.Log(d.logger, zap.Uint64("version", d.member.Snapshot().Version()))
	d.run(failed, "calls", d.calls.Serve)
	d.run(failed, "inner calls", d.inner.Serve)
	return nil
}

// run starts a part as a task. An error of the part stops the daemon, unless the
// shutdown caused the error.
func (d *Daemon) run(failed chan<- error, part string, task func() error) {
	d.running.Add(1)
	work := func() {
		defer d.running.Done()
		err := task()
		if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
			return
		}
		eventPartFailed.Log(d.logger, zap.String("part", part), zap.Error(err))
		select {
		case failed <- &StartError{Part: part, Cause: err}:
		default:
		}
	}
	if err := d.tasks.Submit(work); err != nil {
		d.running.Done()
		failed <- &StartError{Part: part, Cause: err}
	}
}
