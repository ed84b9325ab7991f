// Command nutmegtarget is a stand-in target for the demo. It announces itself
// to its daemon, answers after a configurable time, fails as scripted by its
// flags, can call another service through its daemon, and counts the orders
// that it ran by key.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"nutmegstand.example/nutmegstand/pkg/target"
)

// options are the flags of the command.
type options struct {
	listen       string
	announcement target.Announcement
	daemon       string // address of the daemon's announcement listener
	drain        time.Duration
	work         work
	faults       faults
	next         next
}

func parseFlags(args []string) (*options, error) {
	o := &options{}
	set := flag.NewFlagSet("nutmegtarget", flag.ContinueOnError)
	set.StringVar(&o.listen, "listen", "127.0.0.1:0", "address to serve on")
	set.StringVar(&o.announcement.Service, "service", "", "service to announce")
	set.StringVar(&o.announcement.Version, "version", "v1", "target version to announce")
	set.IntVar(&o.announcement.Slots, "slots", 0, "calls at a time, 0 for the service's value")
	set.IntVar(&o.announcement.Connections, "connections", 0, "connections accepted, 0 for the service's value")
	set.StringVar(&o.daemon, "daemon", "", "address of the daemon's announcement listener; empty to announce nothing")
	set.DurationVar(&o.drain, "drain", target.DefaultDrain, "drain deadline on SIGTERM")
	set.DurationVar(&o.work.latency, "latency", 5*time.Millisecond, "time that a call takes")
	set.DurationVar(&o.work.jitter, "jitter", 0, "mean of an exponential time added to the latency")
	set.Uint64Var(&o.work.seed, "seed", 1, "seed of the jitter and of the error rate")
	set.Float64Var(&o.faults.errorRate, "fault-error-rate", 0, "share of calls answered with status 500")
	set.DurationVar(&o.faults.slowness, "fault-slowness", 0, "time added to each call")
	set.DurationVar(&o.faults.after, "fault-after", 0, "time after the start at which the faults begin")
	set.IntVar(&o.faults.beyondLoad, "fault-beyond-load", 0, "faults apply only with more calls than this in progress")
	set.StringVar(&o.faults.path, "fault-path", "", "faults apply only to paths with this prefix")
	set.StringVar(&o.faults.crashOn, "fault-crash-on", "", "exit at a request whose path or body contains this")
	set.StringVar(&o.next.daemon, "call-daemon", "", "address of the daemon's listener for calls, to call another service")
	set.StringVar(&o.next.host, "call-host", "", "host name to call")
	set.StringVar(&o.next.path, "call-path", "/", "path to call")
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	o.announcement.Instance = strconv.FormatInt(time.Now().UnixNano(), 10)
	return o, nil
}

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds)
	hlog.SetLevel(hlog.LevelError)
	o, err := parseFlags(os.Args[1:])
	if err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, o); err != nil {
		log.Fatal(err)
	}
}

// run serves until ctx ends, then drains.
func run(ctx context.Context, o *options) error {
	listener, err := net.Listen("tcp", o.listen)
	if err != nil {
		return fmt.Errorf("nutmegtarget: %w", err)
	}
	o.announcement.Address = listener.Addr().String()
	s, err := newService(o)
	if err != nil {
		return err
	}
	h := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(target.MaxBodyBytes), server.WithDisablePrintRoute(true))
	h.GET(ordersPath, s.handleOrders)
	h.NoRoute(s.handle)
	ended := make(chan error, 1)
	go func() { ended <- h.Run() }()
	log.Printf("serving %s %s on %s", o.announcement.Service, o.announcement.Version, o.announcement.Address)
	a := announcer{daemon: o.daemon, announcement: o.announcement}
	go a.keepAnnounced(ctx)
	select {
	case err := <-ended:
		return fmt.Errorf("nutmegtarget: serve: %w", err)
	case <-ctx.Done():
	}
	a.withdraw(o.drain)
	// The calls have ended; only idle connections are left.
	closeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = h.Shutdown(closeCtx)
	return nil
}
