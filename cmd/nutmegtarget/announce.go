package main

import (
	"context"
	"encoding/json"
	"log"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"nutmegstand.example/nutmegstand/pkg/target"
)

const (
	// announceInterval is the time between announcements. A daemon that was
	// restarted learns of its target by the next one.
	announceInterval = time.Second
	announceTimeout  = 2 * time.Second
)

// announcer tells the daemon of this target.
type announcer struct {
	daemon       string
	announcement target.Announcement
}

// keepAnnounced announces the target until ctx ends.
func (a *announcer) keepAnnounced(ctx context.Context) {
	announced := false
	for a.daemon != "" {
		body, err := json.Marshal(a.announcement)
		if err != nil {
			log.Printf("encode announcement: %v", err)
			return
		}
		status, answer, err := a.send(ctx, consts.MethodPut, "", body, announceTimeout)
		if ok := err == nil && status == consts.StatusOK; ok != announced {
			announced = ok
			log.Printf("announced: %t (status %d, %s, %v)", ok, status, answer, err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

// withdraw drains the target. It returns when its daemon says that the calls
// have ended, or at the drain deadline.
func (a *announcer) withdraw(drain time.Duration) {
	if a.daemon == "" {
		return
	}
	query := "?drain=" + drain.String()
	status, answer, err := a.send(context.Background(), consts.MethodDelete, query, nil, drain+announceTimeout)
	log.Printf("drained: status %d, %s, %v", status, answer, err)
}

func (a *announcer) send(ctx context.Context, method, query string, body []byte, timeout time.Duration) (int, string, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithKeepAlive(false))
	if err != nil {
		return 0, "", err
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI("http://" + a.daemon + target.AnnouncePath + query)
	req.SetBody(body)
	if err := c.DoTimeout(ctx, req, resp, timeout); err != nil {
		return 0, "", err
	}
	return resp.StatusCode(), string(resp.Body()), nil
}
