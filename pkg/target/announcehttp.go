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
	// AnnouncePath is where a target announces itself (PUT) and withdraws
	// (DELETE) on the daemon's local listener.
	AnnouncePath = "/v1/target"
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// DefaultDrain is the drain deadline of a target that names none.
	DefaultDrain = 10 * time.Second
	// MaxDrain bounds the drain deadline that a target may ask for.
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
	h.GET(AnnouncePath, local.handleShow)
	return &AnnounceServer{hertz: h}
}

// Run serves until Close is called.
func (s *AnnounceServer) Run() error { return s.hertz.Run() }

// Close stops the server after the requests in progress.
func (s *AnnounceServer) Close(ctx context.Context) error { return s.hertz.Shutdown(ctx) }

// problem is the body of an error answer.
type problem struct {
	Error string `json:"error"`
}

func (l *Local) handleAnnounce(_ context.Context, c *app.RequestContext) {
	var a Announcement
	if err := json.Unmarshal(c.Request.Body(), &a); err != nil {
		c.JSON(consts.StatusBadRequest, problem{Error: "the announcement is not valid JSON: " + err.Error()})
		return
	}
	if err := l.Announce(a); err != nil {
		status := http.StatusBadRequest
		if leaving := (*LeavingError)(nil); errors.As(err, &leaving) {
			status = http.StatusConflict
		}
		c.JSON(status, problem{Error: err.Error()})
		return
	}
	l.handleShow(context.Background(), c)
}

// handleWithdraw drains the target. The answer comes when the target may stop.
func (l *Local) handleWithdraw(ctx context.Context, c *app.RequestContext) {
	drain := DefaultDrain
	if text := c.Query("drain"); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 || parsed > MaxDrain {
			c.JSON(consts.StatusBadRequest, problem{Error: "drain must be a duration of at most " + MaxDrain.String()})
			return
		}
		drain = parsed
	}
	ctx, cancel := context.WithTimeout(ctx, drain)
	defer cancel()
	c.JSON(consts.StatusOK, l.Leave(ctx))
}

// shown is what GET tells about the target.
type shown struct {
	Service string `json:"service"`
	Version string `json:"version"`
	State   string `json:"state"`
	Slots   int32  `json:"slots"`
}

func (l *Local) handleShow(_ context.Context, c *app.RequestContext) {
	e := l.Endpoint()
	if e == nil {
		c.JSON(consts.StatusNotFound, problem{Error: "no target is announced"})
		return
	}
	c.JSON(consts.StatusOK, shown{
		Service: e.GetService(), Version: e.GetVersion(), State: e.GetState().String(), Slots: e.GetSlots(),
	})
}
