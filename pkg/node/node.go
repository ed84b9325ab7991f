package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/connguard"
	"nutmegstand.example/nutmegstand/pkg/connlimit"
	"nutmegstand.example/nutmegstand/pkg/evacuation"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/fleetview"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/proxy/balance"
	"nutmegstand.example/nutmegstand/pkg/quota"
	"nutmegstand.example/nutmegstand/pkg/rollout"
	"nutmegstand.example/nutmegstand/pkg/routing"
	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

const (
	// maxTasks bounds the concurrent tasks of a daemon: fleet connections,
	// exchanges and moves.
	maxTasks = 2048
	// sweepInterval is the interval between removals of idle connections, unused
	// statistics and stale store entries.
	sweepInterval = time.Second
	// crashPrefix is the key prefix of the facts about requests that were in flight when
	// targets crashed. Earlier versions kept other counts with the prefix "suspect/".
	crashPrefix = "crash/"
)

// Node is a daemon of a deployment with all its parts.
type Node struct {
	settings *Settings
	platform Platform
	logger   *zap.Logger
	clock    clock.Clock
	tasks    *ants.Pool
	metrics  *telemetry.Metrics

	config      routing.Current
	history     fleet.History
	table       *fleet.Table
	fleet       *fleet.Fleet
	store       *storeHealth
	contacts    *contactLog
	moves       *rollout.Follower
	evacuations *evacuation.State
	recorder    *rollout.Recorder
	collector   *rollout.Collector
	controller  *rollout.Controller
	suspects    *proxy.Suspects
	balancer    *balance.Balancer
	peers       *proxy.Peers
	gate        *proxy.Gate
	target      *targetTracker
	entry       *storedEntry
	callers     *proxy.CallerServer
	explainer   *proxy.Explainer
	limiter     *quota.Limiter // nil if the settings have no bounds for workspaces
	daemons     *server

	budget          *proxy.RetryBudget
	stopGrace       atomic.Int64 // nanoseconds from the stop signal to the kill
	quotaMembers    *quota.Members
	ordersKnown     chan struct{} // closed by setOrdersKnown
	setOrdersKnown  func()        // may be called more than once
	listedDaemons   atomic.Int64  // daemons in the store at the start, 0 if they were not listed
	registered      atomic.Bool   // the local entry is in the store and the listed peers were contacted
	watcherEligible atomic.Bool   // the role of operator watcher may be taken
	leaving         atomic.Bool
	refusing        atomic.Bool // new requests are refused, since they might not end before the stop
	startedAt       clock.Instant
	removedEntries  map[string]uint64 // incarnations whose store entries were removed, by member
	removedInEra    uint64            // era of the store in which they were removed
	listeners       map[string]net.Listener
	pools           map[string]*connlimit.Pool // connections by listener
	connections     *connguard.Metrics
	datagrams       net.PacketConn // pushes from and to peers
	running         sync.WaitGroup
	failed          chan error
}

// StartError reports a part of the daemon that could not start or that ended with
// an error.
type StartError struct {
	Part  string
	Cause error
}

func (e *StartError) Error() string { return fmt.Sprintf("node: %s: %v", e.Part, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// New opens the listeners of the settings and builds the parts of the daemon. Run
// starts them.
func New(s *Settings, p Platform, logger *zap.Logger) (*Node, error) {
	if p.Eras == nil {
		p.Eras = &store.Eras{}
	}
	p.Eras.OnUnreadable = func(text string) { eventEraUnreadable.Log(logger, zap.String("era", text)) }
	n := &Node{settings: s, platform: p, logger: logger, clock: clock.Boot{}, failed: make(chan error, 1), ordersKnown: make(chan struct{})}
	n.setOrdersKnown = sync.OnceFunc(func() { close(n.ordersKnown) })
	var err error
	if n.tasks, err = ants.NewPool(maxTasks, ants.WithNonblocking(true)); err != nil {
		return nil, &StartError{"tasks", err}
	}
	if n.metrics, err = telemetry.NewMetrics(); err != nil {
		return nil, &StartError{"metrics", err}
	}
	if n.connections, err = connguard.NewMetrics(n.metrics.Meter); err != nil {
		return nil, &StartError{"metrics", err}
	}
	if err = n.listen(); err != nil {
		return nil, &StartError{"listeners", err}
	}
	instruments, err := proxy.NewMetrics(n.metrics.Meter)
	if err != nil {
		return nil, &StartError{"metrics", err}
	}
	n.evacuations = &evacuation.State{Clock: n.clock}
	n.startedAt, n.removedEntries = n.clock.Now(), make(map[string]uint64)
	n.stopGrace.Store(int64(s.StopGrace.Duration()))
	n.buildFleet()
	if err = n.registerMetrics(n.metrics.Meter); err != nil {
		return nil, &StartError{"metrics", err}
	}
	n.buildMoves()
	if err = n.buildLimiter(); err != nil {
		return nil, &StartError{"metrics", err}
	}
	n.buildProxy(instruments)
	return n, nil
}

func (n *Node) listen() error {
	n.listeners, n.pools = make(map[string]net.Listener), make(map[string]*connlimit.Pool)
	for name, address := range map[string]string{
		"callers": n.settings.Listen.Callers, "daemons": n.settings.Listen.Daemons, "fleet": n.settings.Listen.Fleet,
		"announcements": n.settings.Listen.Announcements, "readiness": n.settings.Listen.Readiness,
		"metrics": n.settings.Listen.Metrics,
	} {
		if address == "" {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		n.listeners[name] = n.guard(name, listener)
	}
	var err error
	n.datagrams, err = net.ListenPacket("udp", n.settings.Listen.Fleet)
	return err
}

func (n *Node) buildFleet() {
	// The start time orders the processes of a daemon. A daemon whose peers have a
	// later incarnation of it raises its incarnation above that.
	incarnation := uint64(time.Now().UnixMilli())
	n.contacts = newContactLog(n.startedAt)
	n.table = fleet.NewTable(n.settings.Name, incarnation, n.initialState(), n.clock)
	n.fleet = fleet.New(fleet.Options{
		Table: n.table, Peers: link.NewPeers(link.DialTCP), Datagrams: n.datagrams, Tasks: n.tasks, Config: &n.config, History: &n.history, Logger: n.logger,
		ApplyConfig:        func(c *routing.Config) { n.applyConfig(c, false) },
		HandleReport:       n.handleReport,
		HandleLeftTarget:   func(target string, startMS int64) { n.target.handleLeftTarget(target, startMS) },
		TargetLoad:         func() byte { return publishedLoad(n.gate.Load()) },
		HandleStoreContact: func(from string) { n.contacts.record(from, n.clock.Now()) },
	})
	n.store = &storeHealth{node: n, succeededAt: n.startedAt}
}

func (n *Node) buildMoves() {
	n.moves = rollout.NewFollower(n.logger)
	n.recorder = rollout.NewRecorder(n.moves)
	n.collector = rollout.NewCollector(n.clock)
	n.controller = rollout.NewController(rollout.ControllerOptions{
		Table: n.table, Follower: n.moves, Collector: n.collector, Records: records{n.platform, n.store}, Clock: n.clock,
		Tasks: n.tasks, Logger: n.logger,
		SetFact: func(key string, rank uint64, payload []byte) bool {
			set := n.fleet.SetFact(key, rank, payload)
			n.moves.Refresh(n.table.Facts())
			return set
		},
	})
}

func (n *Node) buildProxy(instruments *proxy.Metrics) {
	s := n.settings
	n.suspects = &proxy.Suspects{Clock: n.clock, Logger: n.logger, Publish: func(fingerprint uint64, evidence proxy.Evidence) {
		n.fleet.SetFact(crashPrefix+strconv.FormatUint(fingerprint, 16)+"/"+s.Name, evidence.Rank(), nil)
	}}
	uplink := proxy.NewUplink(s.LinkMbps)
	buffers := proxy.NewBuffers(s.responseMemory())
	n.gate = proxy.NewGate(proxy.GateOptions{
		Names: n.platform.Headers, Config: &n.config, Versions: n.moves, Suspects: n.suspects, Uplink: uplink, Buffers: buffers, Clock: n.clock,
		Evacuation:  evacuation.Domain{State: n.evacuations, Name: s.Domain},
		DrainPeriod: s.DrainPeriod.Duration(), Logger: n.logger,
		OnReachabilityChange: func() { n.target.refresh() },
		OnLeaving:            func(id string) { n.target.handleLeaving(id) },
	})
	n.target = &targetTracker{
		service: s.Service, address: s.TargetAddress, heartbeat: s.Heartbeat.Duration(), gate: n.gate,
		update: n.fleet.Update, clock: n.clock, logger: n.logger,
	}
	entry := daemonEntry{Address: n.initialState().SyncAddress, LinkMbps: s.LinkMbps, Cores: s.Cores}
	n.entry = newStoredEntry(entry, n.platform.Store, daemonPrefix+s.Name, n.logger, n.target.handleLeftTarget)
	n.target.entry = n.entry
	n.balancer, n.peers = balance.New(n.logger), proxy.NewPeers()
	view := &directory{table: n.table, clock: n.clock, zone: s.Domain, config: &n.config, evacuations: n.evacuations}
	n.budget = proxy.NewRetryBudget(s.Retries.Ratio, s.Retries.Slack, s.Retries.Window.Duration(), n.table.LiveCount)
	ingress := proxy.NewIngress(proxy.IngressOptions{
		Names: n.platform.Headers, Service: s.Service, LinkMbps: s.LinkMbps, Config: &n.config, Directory: view, Versions: n.moves,
		Recorder: n.recorder, Balancer: n.balancer, Gate: n.gate, Peers: n.peers, Limiter: n.ingressLimiter(), Buffers: buffers,
		Budget: n.budget, Leaving: n.leaving.Load, Refusing: n.refusing.Load, Logger: n.logger, Metrics: instruments,
	})
	n.buildExplainer(ingress)
	n.callers = proxy.NewCallerServer(proxy.CallerServerOptions{
		Handler: ingress, ReadAhead: ingress.ReadAhead, Leaving: n.leaving.Load, Limits: n.callerLimits,
		Stall: s.stall(), Pool: n.pools["callers"], Reporter: n.reporter("callers"), Logger: n.logger,
	})
	n.daemons = newServer(proxy.Inbound{Names: n.platform.Headers, Target: n.gate, Uplink: uplink}, n.logger)
}

// Run serves until ctx ends or a part fails, then drains.
func (n *Node) Run(ctx context.Context) error {
	eventStarted.Log(n.logger, zap.String("name", n.settings.Name), zap.String("domain", n.settings.Domain),
		zap.String("service", n.settings.Service), zap.Uint64("incarnation", n.table.Local().Incarnation))
	background, stop := context.WithCancel(context.Background())
	defer stop()
	n.start(background)
	var err error
	select {
	case <-ctx.Done():
	case err = <-n.failed:
	}
	cut := n.drain()
	stop()
	n.awaitParts()
	n.closeListeners()
	n.tasks.Release()
	eventStopped.Log(n.logger, zap.Int("cut", cut))
	return err
}

func (n *Node) start(ctx context.Context) {
	edge := n.platform.Edge
	n.startPart("fleet server", func() error { return n.fleet.Serve(ctx, n.listeners["fleet"]) })
	n.startPart("fleet news", func() error { return n.fleet.ReceiveDatagrams(ctx) })
	n.startPart("fleet", func() error { n.fleet.Run(ctx); return nil })
	n.startPart("announcements", func() error { return edge.ServeAnnouncements(ctx, n.listeners["announcements"], n.target) })
	n.startPart("readiness", func() error { return edge.ServeReadiness(ctx, n.listeners["readiness"], n.ready) })
	n.startPart("register", func() error { n.register(ctx); return nil })
	n.startPart("unregistered target", func() error { n.releaseUnregistered(ctx); return nil })
	n.startPart("store eras", func() error { n.followEras(ctx); return nil })
	n.startPart("departures", func() error { n.entry.run(ctx); return nil })
	n.startPart("configuration", func() error { n.configWatcher(ctx).run(ctx); return nil })
	n.startPart("orders", func() error { n.orderWatcher().run(ctx); return nil })
	if n.settings.Evacuation > 0 {
		n.startPart("evacuations", func() error { n.evacuationWatcher().run(ctx); return nil })
	}
	n.startPart("moves", func() error { n.controller.Run(ctx); return nil })
	if n.limiter != nil {
		n.startPart("workspace limits", func() error { n.observeMembers(ctx); return nil })
	}
	n.startPart("refresh", func() error { n.refresh(ctx); return nil })
	n.startPart("callers", func() error { return n.callers.Serve(n.listeners["callers"]) })
	n.startPart("daemons", func() error { return n.daemons.serve(n.listeners["daemons"]) })
	if listener := n.listeners["metrics"]; listener != nil {
		n.startPart("metrics", func() error {
			return telemetry.ServeMetrics(ctx, listener, n.metrics, map[string]http.HandlerFunc{
				fleetview.Path: n.serveView, fleetview.WorkspacesPath: n.serveWorkspaces,
				fleetview.ExplainPath: n.serveExplanation,
			})
		})
	}
}

// startPart runs a part of the daemon as a task. An error of the part stops the
// daemon.
func (n *Node) startPart(part string, run func() error) {
	n.running.Add(1)
	task := func() {
		defer n.running.Done()
		err := recoverPart(run)
		if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
			return
		}
		eventPartFailed.Log(n.logger, zap.String("part", part), zap.Error(err))
		select {
		case n.failed <- &StartError{part, err}:
		default:
		}
	}
	if err := n.tasks.Submit(task); err != nil {
		n.running.Done()
		n.failed <- &StartError{part, err}
	}
}

// recoverPart runs a part and returns a panic as an error. The daemon then drains and
// is restarted, in place of serving on without the part.
func recoverPart(run func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	return run()
}

// ready reports whether the daemon can serve requests.
func (n *Node) ready() bool { return !n.leaving.Load() && n.config.Load() != nil }

// refresh passes changes of the fleet to the other parts, sends reports and removes
// idle connections and stale entries, until ctx ends.
func (n *Node) refresh(ctx context.Context) {
	report := time.NewTicker(rollout.ReportInterval)
	defer report.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	wasReady := false
	factsVersion := uint64(0)
	for {
		changed := n.table.Changed()
		if version := n.table.FactsVersion(); version != factsVersion {
			factsVersion = version
			facts := n.table.Facts()
			n.moves.Refresh(facts)
			n.applySuspects(facts)
			n.applyEvacuations(facts)
			n.applyEras(facts)
		}
		if ready := n.ready(); ready && !wasReady {
			wasReady = true
			eventReady.Log(n.logger, zap.Uint64("config", n.config.Load().Version()), zap.Int("members", n.table.LiveCount()))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-report.C:
			n.target.checkSilence()
			n.sendReport(ctx)
		case <-sweep.C:
			n.gate.Sweep()
			n.peers.Sweep()
			n.balancer.Sweep()
			n.removeStaleEntries(ctx)
		}
	}
}

// applySuspects passes on the evidence of all daemons about requests that were in flight
// at crashes, also that of this daemon before its last start.
func (n *Node) applySuspects(facts []fleet.Fact) {
	var reports []proxy.EvidenceReport
	for _, fact := range facts {
		rest, ok := strings.CutPrefix(fact.Key, crashPrefix)
		if !ok {
			continue
		}
		hexFingerprint, daemon, _ := strings.Cut(rest, "/")
		fingerprint, err := strconv.ParseUint(hexFingerprint, 16, 64)
		if daemon == n.settings.Name {
			daemon = ""
		}
		if err == nil {
			reports = append(reports, proxy.EvidenceReport{Daemon: daemon, Fingerprint: fingerprint, Evidence: proxy.EvidenceOfRank(fact.Rank)})
		}
	}
	n.suspects.Apply(reports)
}

// sendReport sends the local evidence to the controller candidates.
func (n *Node) sendReport(ctx context.Context) {
	report := n.recorder.Report(n.table.Local().Incarnation, n.gate.InFlightOnOtherVersion)
	if report == nil {
		return
	}
	payload := rollout.Encode(report)
	for _, name := range rollout.Candidates(n.table) {
		if name == n.settings.Name {
			n.handleReport(name, payload)
			continue
		}
		if err := n.tasks.Submit(func() { n.fleet.ReportTo(ctx, name, payload) }); err != nil {
			eventRegisterFailed.Log(n.logger, zap.String("access", "report"), zap.Error(err))
		}
	}
}

func (n *Node) handleReport(from string, payload []byte) {
	var report rollout.Report
	if err := json.Unmarshal(payload, &report); err != nil {
		rollout.LogReportRejected(n.logger, from, err)
		return
	}
	n.collector.Receive(from, &report)
}
