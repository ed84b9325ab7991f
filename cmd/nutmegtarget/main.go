// Command nutmegtarget is a stand-in target for the demo and for trials. It
// announces itself to its daemon, answers with scripted faults, may call another
// service through its daemon, and drains on SIGTERM.
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
	listen, announce, local   string
	service, version          string
	latency                   time.Duration
	errorRate                 float64
	errorAfter                time.Duration
	errorPath                 string
	errorOnSignal             bool
	crashPath, journal        string
	innerHost, innerPath      string
	slots, connections        int
	announceTimeout, drainFor time.Duration
}

func main() {
	os.Exit(run())
}

func run() int {
	o := parseOptions()
	if o.listen == "" || o.announce == "" || o.service == "" || o.version == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitBadUsage
	}
	hlog.SetLevel(hlog.LevelFatal)
	t, err := newTarget(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtarget:", err)
		return exitFailed
	}
	if o.errorOnSignal {
		go t.awaitFault()
	}
	h := server.New(server.WithHostPorts(o.listen), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(time.Second))
	h.GET(ordersPath, t.showOrders)
	h.NoRoute(t.serve)
	failed := make(chan error, 1)
	go func() { failed <- h.Run() }()
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
	shutdown, cancel := context.WithTimeout(context.Background(), o.drainFor)
	defer cancel()
	if err := h.Shutdown(shutdown); err != nil {
		return exitFailed
	}
	return 0
}

func parseOptions() *options {
	o := &options{}
	flag.StringVar(&o.listen, "listen", "", "`address` to serve on")
	flag.StringVar(&o.announce, "announce", "", "announcement `address` of the daemon")
	flag.StringVar(&o.local, "local", "", "`address` of the daemon for calls to other services")
	flag.StringVar(&o.service, "service", "", "`name` of the service")
	flag.StringVar(&o.version, "version", "", "target `version`")
	flag.DurationVar(&o.latency, "latency", 2*time.Millisecond, "time that a request takes")
	flag.Float64Var(&o.errorRate, "error-rate", 0, "part of the requests that fail, 0 to 1")
	flag.DurationVar(&o.errorAfter, "error-after", 0, "time from the first request until requests fail")
	flag.StringVar(&o.errorPath, "error-path", "", "path `prefix` of the requests that fail, empty for all")
	flag.BoolVar(&o.errorOnSignal, "error-on-signal", false, "requests fail only after SIGUSR1")
	flag.StringVar(&o.crashPath, "crash-path", "", "path `prefix` of the requests that end the process, empty for none")
	flag.StringVar(&o.journal, "journal", "", "`file` to append a line to for each order and each call")
	flag.StringVar(&o.innerHost, "inner-host", "", "`host` of another service to call for each request")
	flag.StringVar(&o.innerPath, "inner-path", "/", "`path` of that call")
	flag.IntVar(&o.slots, "slots", 0, "slots to announce, 0 for the service's")
	flag.IntVar(&o.connections, "connections", 0, "connections to announce, 0 for the service's")
	flag.DurationVar(&o.announceTimeout, "announce-timeout", 30*time.Second, "time to try to announce")
	flag.DurationVar(&o.drainFor, "drain", 10*time.Second, "drain timeout")
	flag.Parse()
	return o
}
