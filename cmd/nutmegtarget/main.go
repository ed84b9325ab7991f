// Command nutmegtarget is a test target for the demo and for scenario tests. It
// announces itself to its daemon, responds to requests with configurable latency
// and faults, optionally calls another service through its daemon, and drains on
// SIGTERM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadUsage = 2
	exitCrashed  = 3
)

// options are the flags of the program.
type options struct {
	listen, announce, local       string
	service, version              string
	latency                       time.Duration
	errorRate                     float64
	errorAfter                    time.Duration
	errorPath                     string
	errorOnSignal                 bool
	crashPath, journal            string
	innerHost, innerPath          string
	slots, connections            int
	announceTimeout, drainTimeout time.Duration
}

func main() {
	os.Exit(run())
}

func run() int {
	opts := parseOptions()
	if opts.listen == "" || opts.announce == "" || opts.service == "" || opts.version == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitBadUsage
	}
	hlog.SetLevel(hlog.LevelFatal)
	t, err := newTarget(opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtarget:", err)
		return exitFailed
	}
	if opts.errorOnSignal {
		go t.enableFaultOnSignal()
	}
	httpServer := server.New(server.WithHostPorts(opts.listen), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(time.Second))
	httpServer.GET(ordersPath, t.handleOrders)
	httpServer.NoRoute(t.serve)
	failed := make(chan error, 1)
	go func() { failed <- httpServer.Run() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := t.announceUntilAccepted(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtarget:", err)
		return exitFailed
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		fmt.Fprintln(os.Stderr, "nutmegtarget:", err)
		return exitFailed
	}
	if err := t.withdraw(); err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtarget:", err)
	}
	shutdown, cancel := context.WithTimeout(context.Background(), opts.drainTimeout)
	defer cancel()
	if err := httpServer.Shutdown(shutdown); err != nil {
		return exitFailed
	}
	return 0
}

func parseOptions() *options {
	opts := &options{}
	flag.StringVar(&opts.listen, "listen", "", "`address` to serve on")
	flag.StringVar(&opts.announce, "announce", "", "announcement `address` of the daemon")
	flag.StringVar(&opts.local, "local", "", "`address` of the daemon for calls to other services")
	flag.StringVar(&opts.service, "service", "", "`name` of the service")
	flag.StringVar(&opts.version, "version", "", "target `version`")
	flag.DurationVar(&opts.latency, "latency", 2*time.Millisecond, "time that a request takes")
	flag.Float64Var(&opts.errorRate, "error-rate", 0, "fraction of requests that fail, from 0 to 1")
	flag.DurationVar(&opts.errorAfter, "error-after", 0, "time from the first request until requests fail")
	flag.StringVar(&opts.errorPath, "error-path", "", "path `prefix` of the requests that fail, empty for all")
	flag.BoolVar(&opts.errorOnSignal, "error-on-signal", false, "requests fail only after SIGUSR1")
	flag.StringVar(&opts.crashPath, "crash-path", "", "path `prefix` of the requests that end the process, empty for none")
	flag.StringVar(&opts.journal, "journal", "", "`file` to which a line is appended for each order and each call")
	flag.StringVar(&opts.innerHost, "inner-host", "", "`host` of another service to call for each request")
	flag.StringVar(&opts.innerPath, "inner-path", "/", "`path` of that call")
	flag.IntVar(&opts.slots, "slots", 0, "slots to announce, 0 for the value of the service")
	flag.IntVar(&opts.connections, "connections", 0, "connections to announce, 0 for the value of the service")
	flag.DurationVar(&opts.announceTimeout, "announce-timeout", 30*time.Second, "how long to retry the announcement")
	flag.DurationVar(&opts.drainTimeout, "drain", 10*time.Second, "drain timeout")
	flag.Parse()
	return opts
}
