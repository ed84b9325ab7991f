package telemetry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// metricsPath is the default scrape path of Prometheus.
const metricsPath = "/metrics"

// ServeMetrics serves the metrics endpoint on the listener until ctx ends, and further
// pages by path.
func ServeMetrics(ctx context.Context, listener net.Listener, metrics *Metrics, pages map[string]http.HandlerFunc) error {
	h := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(time.Second))
	h.GET(metricsPath, adaptor.HertzHandler(metrics.Handler))
	for path, page := range pages {
		h.GET(path, adaptor.HertzHandler(page))
	}
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()
	if err := h.Run(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
