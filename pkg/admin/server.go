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
	// requestTimeout bounds the work of one request. An apply at a daemon that
	// knows no bundle reads 190 of them, 8 at a time, and the store may take 5 s
	// for each answer.
	requestTimeout = 180 * time.Second
	readTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
	// exitWait also bounds the wait for clients that keep an idle connection.
	exitWait = 5 * time.Second
	jsonType = "application/json; charset=utf-8"
)

// Options configures a Server. Configurations and Logger are required; requests
// that need another provider are refused while it is nil.
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

// New checks the settings and returns a Server.
func New(options Options) (*Server, error) {
	if err := options.Settings.Validate(); err != nil {
		return nil, err
	}
	options.Settings = options.Settings.withDefaults()
	return &Server{options: options, authenticator: newAuthenticator(options.Settings)}, nil
}

// ServeError reports that the API cannot be served.
type ServeError struct{ Cause error }

func (e *ServeError) Error() string { return fmt.Sprintf("admin: serve: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }

// Serve answers requests on the listener until ctx ends. Requests under way then
// have exitWait to finish before it returns.
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
	finished := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(finished)
		if err := h.Shutdown(context.Background()); err != nil {
			_ = listener.Close() // not running yet
		}
	})
	err = h.Run()
	if stop() { // ctx has not ended
		return &ServeError{Cause: err}
	}
	<-finished
	return nil
}

// engine returns the HTTP server with its routes. Bodies are streamed, so that
// a request without a valid token is refused before its body is read.
func (s *Server) engine(options ...hertzconfig.Option) *server.Hertz {
	options = append([]hertzconfig.Option{
		server.WithTransport(standard.NewTransporter),
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(s.options.Settings.MaxBodyBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(exitWait),
		server.WithHandleMethodNotAllowed(true),
		server.WithDisablePrintRoute(true),
	}, options...)
	h := server.New(options...)
	h.Use(recovery.Recovery(recovery.WithRecoveryHandler(s.recovered)))
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

// call is one request of a principal.
type call struct {
	*app.RequestContext
	principal *principal
	maxBody   int
}

// body reads the body up to the limit.
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

// handle authenticates a request, runs it and writes its answer.
func (s *Server) handle(run func(context.Context, *call) (any, error)) app.HandlerFunc {
	return func(ctx context.Context, rc *app.RequestContext) {
		start := time.Now()
		p, denied := s.authenticator.admit(string(rc.GetHeader("Authorization")))
		if denied != nil {
			s.write(rc, p, start, nil, denied)
			return
		}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		answer, err := run(ctx, &call{RequestContext: rc, principal: p, maxBody: s.options.Settings.MaxBodyBytes})
		if err != nil {
			s.write(rc, p, start, nil, toFailure(err))
			return
		}
		s.write(rc, p, start, answer, nil)
	}
}

func (s *Server) write(rc *app.RequestContext, p *principal, start time.Time, answer any, failure *Failure) {
	status := consts.StatusOK
	if failure != nil {
		status, answer = statusByKind[failure.Kind], ErrorBody{Error: failure}
		// The rest of the body may not have been read.
		rc.SetConnectionClose()
	}
	switch status {
	case consts.StatusUnauthorized:
		rc.Header("WWW-Authenticate", "Bearer")
	case consts.StatusTooManyRequests, consts.StatusServiceUnavailable:
		rc.Header("Retry-After", "1")
	}
	data, err := json.Marshal(answer)
	if err != nil {
		failure = &Failure{Kind: KindInternal, Message: "answer cannot be encoded: " + err.Error()}
		data, _ = json.Marshal(ErrorBody{Error: failure}) // strings only
		status = consts.StatusInternalServerError
	}
	s.log(rc, p, start, status, failure)
	rc.Data(status, jsonType, data)
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

func (s *Server) recovered(_ context.Context, rc *app.RequestContext, cause any, stack []byte) {
	eventFailed.Log(s.options.Logger, zap.Any("panic", cause), zap.ByteString("stack", stack))
	s.write(rc, nil, time.Now(), nil, &Failure{Kind: KindInternal, Message: "the daemon failed at this request, see its log"})
}
