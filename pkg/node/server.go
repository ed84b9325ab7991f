package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/connguard"
	"nutmegstand.example/nutmegstand/pkg/proxy"
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// server is an HTTP server that counts the requests in progress.
type server struct {
	http   *http.Server
	active atomic.Int64
}

func newServer(handler http.Handler, logger *zap.Logger) *server {
	s := &server{}
	s.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.active.Add(1)
			defer s.active.Add(-1)
			if conn, ok := r.Context().Value(connKey{}).(*connguard.Conn); ok {
				conn.StartRequest()
				defer conn.EndRequest()
			}
			handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: proxy.ServerLog(logger),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if guarded, ok := conn.(*connguard.Conn); ok && state == http.StateIdle {
				guarded.AwaitRequest()
			}
		},
	}
	return s
}

func (s *server) serve(listener net.Listener) error { return s.http.Serve(listener) }

// close shuts the server down: idle connections at once, the others when their
// request ends or after timeout. It returns the number of requests that were cut
// off.
func (s *server) close(timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if s.http.Shutdown(ctx) == nil {
		return 0
	}
	cut := s.active.Load()
	_ = s.http.Close()
	return int(cut)
}
