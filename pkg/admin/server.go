package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"go.uber.org/zap"
)

const (
	// requestTimeout bounds the handling of one request. An apply at a daemon
	// without cached bundles reads 190 bundles, 8 at a time, and the store may
	// take 5 s for each read.
	requestTimeout = 180 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
	// shutdownTimeout bounds the wait for requests in flight and for idle
	// keep-alive connections.
	shutdownTimeout = 5 * time.Second
	jsonContentType = "application/json; charset=utf-8"
)

// Options configures a Server. Configurations and Logger are required. Requests
// that need one of the other providers fail if that provider is nil.
type Options struct {
	Settings       Settings
	Configurations Configurations
	Status         StatusProvider
	Moves          MoveProvider
	Explainer      Explainer
	Logger         *zap.Logger
}

// Server serves the administration API.
type Server struct {
	options       Options
	authenticator *authenticator
}

// New validates the settings and returns a Server.
func New(options Options) (*Server, error) {
	if err := options.Settings.Validate(); err != nil {
		return nil, err
	}
	options.Settings = options.Settings.withDefaults()
	return &Server{options: options, authenticator: newAuthenticator(options.Settings)}, nil
}

// ServeError reports that the HTTP server failed.
type ServeError struct{ Cause error }

func (e *ServeError) Error() string { return fmt.Sprintf("admin: serve: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }

// Serve handles requests on the listener until ctx ends, then waits up to
// shutdownTimeout for requests in flight before it returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	tlsConfig, err := s.options.Settings.tlsConfig()
	if err != nil {
		return err
	}
	options := []hertzconfig.Option{server.WithListener(listener)}
	if tlsConfig != nil {
		options = append(options, server.WithTLS(tlsConfig))
	}
	h := s.engine(options...)
	shutdownDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		if err := h.Shutdown(context.Background()); err != nil {
			_ = listener.Close() // the server is not running yet
		}
	})
	err = h.Run()
	if stop() { // Run returned before ctx ended
		return &ServeError{Cause: err}
	}
	<-shutdownDone
	return nil
}

// engine returns the HTTP server with its routes. Request bodies are streamed, so
// that a request without a valid token is rejected before its body is read.
func (s *Server) engine(options ...hertzconfig.Option) *server.Hertz {
	options = append([]hertzconfig.Option{
		server.WithTransport(standard.NewTransporter),
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(s.options.Settings.MaxBodyBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(shutdownTimeout),
		server.WithHandleMethodNotAllowed(true),
		server.WithDisablePrintRoute(true),
	}, options...)
	h := server.New(options...)
	h.Use(recovery.Recovery(recovery.WithRecoveryHandler(s.handlePanic)))
	h.POST(PathApply, s.handle(s.apply))
	h.POST(PathCheck, s.handle(s.check))
	h.POST(PathDiff, s.handle(s.diff))
	h.GET(PathConfig, s.handle(s.config))
	h.GET(PathStatus, s.handle(s.status))
	h.GET(PathMoves, s.handle(s.moves))
	h.GET(PathExplain, s.handle(s.explain))
	h.NoRoute(s.handle(func(context.Context, *call) (any, error) {
		return nil, &Failure{Kind: KindNotFound, Message: "no such path"}
	}))
	h.NoMethod(s.handle(func(context.Context, *call) (any, error) {
		return nil, &Failure{Kind: KindMethodNotAllowed, Message: "no such method for this path"}
	}))
	return h
}

// call is one authenticated request.
type call struct {
	*app.RequestContext
	principal *principal
	maxBody   int
}

// body reads the request body and fails if the body exceeds the limit.
func (c *call) body() ([]byte, error) {
	limit := int64(c.maxBody)
	data, err := io.ReadAll(io.LimitReader(c.RequestBodyStream(), limit+1))
	if err != nil {
		return nil, &Failure{Kind: KindBadRequest, Message: "body cannot be read: " + err.Error()}
	}
	if int64(len(data)) > limit {
		return nil, &Failure{Kind: KindTooLarge, Message: fmt.Sprintf("body has more than %d bytes", limit)}
	}
	return data, nil
}

// handle returns a handler that authenticates a request, runs it and writes the
// response.
func (s *Server) handle(run func(context.Context, *call) (any, error)) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		start := time.Now()
		p, failure := s.authenticator.authenticate(string(rc.GetHeader("Authorization")))
		if failure != nil {
			s.write(rc, p, start, nil, failure)
			return
		}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		response, err := run(ctx, &call{RequestContext: rc, principal: p, maxBody: s.options.Settings.MaxBodyBytes})
		if err != nil {
			s.write(rc, p, start, nil, toFailure(err))
			return
		}
		s.write(rc, p, start, response, nil)
	}
}

func (s *Server) write(rc *app.RequestContext, p *principal, start time.Time, response any, failure *Failure) {
	status := consts.StatusOK
	if failure != nil {
		status, response = statusByKind[failure.Kind], ErrorBody{Error: failure}
		// The request body may not have been read completely, so the connection
		// cannot be reused.
		rc.SetConnectionClose()
	}
	switch status {
	case consts.StatusUnauthorized:
		rc.Header("WWW-Authenticate", "Bearer")
	case consts.StatusTooManyRequests, consts.StatusServiceUnavailable:
		rc.Header("Retry-After", "1")
	}
	data, err := json.Marshal(response)
	if err != nil {
		failure = &Failure{Kind: KindInternal, Message: "answer cannot be encoded: " + err.Error()}
		data, _ = json.Marshal(ErrorBody{Error: failure}) // strings only, cannot fail
		status = consts.StatusInternalServerError
	}
	s.log(rc, p, start, status, failure)
	rc.Data(status, jsonContentType, data)
}

func (s *Server) log(rc *app.RequestContext, p *principal, start time.Time, status int, failure *Failure) {
	fields := []zap.Field{
		zap.ByteString("method", rc.Method()), zap.ByteString("path", rc.Path()),
		zap.Int("status", status), zap.Duration("took", time.Since(start)),
		zap.String("peer", rc.RemoteAddr().String()),
	}
	if p != nil {
		fields = append(fields, zap.String("token", p.token.Name))
	}
	event := eventRequest
	if failure != nil {
		fields = append(fields, zap.String("kind", string(failure.Kind)), zap.String("error", failure.Message))
		switch failure.Kind {
		case KindUnauthorized, KindForbidden, KindRateLimited:
			event = eventDenied
		case KindInternal:
			event = eventFailed
		}
	}
	event.Log(s.options.Logger, fields...)
}

func (s *Server) handlePanic(_ context.Context, rc *app.RequestContext, cause any, stack []byte) {
	eventFailed.Log(s.options.Logger, zap.Any("panic", cause), zap.ByteString("stack", stack))
	s.write(rc, nil, time.Now(), nil, &Failure{Kind: KindInternal, Message: "the daemon failed at this request, see its log"})
}
