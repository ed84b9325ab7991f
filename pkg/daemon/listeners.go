package daemon

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"nutmegstand.example/nutmegstand/pkg/settings"
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// metricsPath is where scrapers look by default.
const metricsPath = "/metrics"

// listeners are the open sockets of a daemon.
type listeners struct {
	calls, local, announce, daemons, admin, metrics net.Listener
}

func openListeners(addresses settings.Listen) (*listeners, error) {
	l := &listeners{}
	for _, entry := range []struct {
		address  string
		listener *net.Listener
	}{
		{addresses.Calls, &l.calls},
		{addresses.Local, &l.local},
		{addresses.Announce, &l.announce},
		{addresses.Daemons, &l.daemons},
		{addresses.Admin, &l.admin},
		{addresses.Metrics, &l.metrics},
	} {
		listener, err := net.Listen("tcp", entry.address)
		if err != nil {
			l.close()
			return nil, err
		}
		*entry.listener = listener
	}
	return l, nil
}

func (l *listeners) close() {
	if l == nil {
		return
	}
	for _, listener := range []net.Listener{l.calls, l.local, l.announce, l.daemons, l.admin, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// serveMetrics answers scrapers until ctx ends.
func serveMetrics(ctx context.Context, listener net.Listener, metrics *telemetry.Metrics) error {
	h := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(time.Second))
	h.GET(metricsPath, adaptor.HertzHandler(metrics.Handler))
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()
	if err := h.Run(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
