package target

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

const (
	// AnnouncePath is the path on the daemon's local listener where a target
	// announces itself (PUT), withdraws (DELETE) and reads its status (GET).
	AnnouncePath = "/v1/target"
	// maxAnnouncementBytes is the maximum size of an announcement's body.
	maxAnnouncementBytes = 4 << 10
	// DefaultDrain is the drain timeout if a target requests none.
	DefaultDrain = 10 * time.Second
	// MaxDrain is the longest drain timeout that a target may request.
	MaxDrain = 5 * time.Minute
)

// AnnounceServer serves the announcements of the target on this VM.
type AnnounceServer struct {
	hertz *server.Hertz
}

// NewAnnounceServer returns a server on a local listener.
func NewAnnounceServer(listener net.Listener, local *Local) *AnnounceServer {
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxAnnouncementBytes),
		server.WithDisablePrintRoute(true),
	)
	h.PUT(AnnouncePath, local.handleAnnounce)
	h.DELETE(AnnouncePath, local.handleWithdraw)
	h.GET(AnnouncePath, local.handleStatus)
	return &AnnounceServer{hertz: h}
}

// Run serves until Close is called.
func (s *AnnounceServer) Run() error { return s.hertz.Run() }

// Close stops the server after the requests in progress have ended.
func (s *AnnounceServer) Close(ctx context.Context) error { return s.hertz.Shutdown(ctx) }

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

func (l *Local) handleAnnounce(_ context.Context, c *app.RequestContext) {
	var a Announcement
	if err := json.Unmarshal(c.Request.Body(), &a); err != nil {
		c.JSON(consts.StatusBadRequest, errorBody{Error: "the announcement is not valid JSON: " + err.Error()})
		return
	}
	if err := l.Announce(a); err != nil {
		status := http.StatusBadRequest
		if leaving := (*LeavingError)(nil); errors.As(err, &leaving) {
			status = http.StatusConflict
		}
		c.JSON(status, errorBody{Error: err.Error()})
		return
	}
	l.handleStatus(context.Background(), c)
}

// handleWithdraw drains the target. It responds when the target may stop.
func (l *Local) handleWithdraw(ctx context.Context, c *app.RequestContext) {
	drain := DefaultDrain
	if text := c.Query("drain"); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 || parsed > MaxDrain {
			c.JSON(consts.StatusBadRequest, errorBody{Error: "drain must be a duration of at most " + MaxDrain.String()})
			return
		}
		drain = parsed
	}
	ctx, cancel := context.WithTimeout(ctx, drain)
	defer cancel()
	c.JSON(consts.StatusOK, l.Leave(ctx))
}

// targetStatus is the body of the response to GET.
type targetStatus struct {
	Service string `json:"service"`
	Version string `json:"version"`
	State   string `json:"state"`
	Slots   int32  `json:"slots"`
}

func (l *Local) handleStatus(_ context.Context, c *app.RequestContext) {
	e := l.Endpoint()
	if e == nil {
		c.JSON(consts.StatusNotFound, errorBody{Error: "no target is announced"})
		return
	}
	c.JSON(consts.StatusOK, targetStatus{
		Service: e.GetService(), Version: e.GetVersion(), State: e.GetState().String(), Slots: e.GetSlots(),
	})
}
