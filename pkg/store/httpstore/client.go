package httpstore

import (
	"context"
	"encoding/json"
	"errors"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// watchMargin is the time allowed for the response of a watch in addition to
	// its wait.
	watchMargin = 2 * time.Second
	// maxWatch bounds the wait of one watch call.
	maxWatch = 30 * time.Second
)

// Client implements store.Store over HTTP.
type Client struct {
	url     string
	timeout time.Duration
	http    *client.Client
}

var _ store.Store = (*Client)(nil)

// NewClient returns a client for the store at address (host:port). timeout bounds
// every call except Watch.
func NewClient(address string, timeout time.Duration) (*Client, error) {
	// For the few connections to the store, the standard dialer uses less memory
	// than netpoll.
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(timeout))
	if err != nil {
		return nil, &store.UnavailableError{Op: "connect", Cause: err}
	}
	return &Client{url: "http://" + address + Path, timeout: timeout, http: c}, nil
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	return c.doObject(ctx, request{Op: "get", Key: key})
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	resp, err := c.do(ctx, request{Op: "list", Key: prefix}, c.timeout)
	return resp.Objects, resp.Revision, err
}

// Create implements store.Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	return c.doObject(ctx, request{Op: "create", Key: key, Value: value})
}

// Update implements store.Store.
func (c *Client) Update(ctx context.Context, key string, value []byte, ifRevision int64) (store.Object, error) {
	return c.doObject(ctx, request{Op: "update", Key: key, Value: value, Revision: ifRevision})
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, ifRevision int64) error {
	_, err := c.do(ctx, request{Op: "delete", Key: key, Revision: ifRevision}, c.timeout)
	return err
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) ([]store.Event, int64, error) {
	wait := maxWatch
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	req := request{Op: "watch", Key: prefix, Revision: from, WaitMS: wait.Milliseconds()}
	resp, err := c.do(ctx, req, wait+watchMargin)
	if err != nil {
		if ctx.Err() != nil {
			return nil, from, nil
		}
		return nil, from, err
	}
	return resp.Events, resp.Revision, nil
}

func (c *Client) doObject(ctx context.Context, req request) (store.Object, error) {
	resp, err := c.do(ctx, req, c.timeout)
	if err != nil || resp.Object == nil {
		return store.Object{}, err
	}
	return *resp.Object, nil
}

func (c *Client) do(ctx context.Context, req request, timeout time.Duration) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, &store.UnavailableError{Op: req.Op, Cause: err}
	}
	body, err := json.Marshal(req)
	if err != nil {
		return response{}, &store.UnavailableError{Op: req.Op, Cause: err}
	}
	resp, err := c.exchange(ctx, body, timeout)
	if err != nil {
		return response{}, toStoreError(req, err)
	}
	if resp.Error != nil {
		return response{}, resp.Error.decode(req)
	}
	return resp, nil
}

// exchange posts body and returns early if ctx ends. The HTTP request then
// continues in the background until its timeout, since hertz does not observe ctx
// while it waits for a response.
func (c *Client) exchange(ctx context.Context, body []byte, timeout time.Duration) (response, error) {
	type result struct {
		resp response
		err  error
	}
	done := make(chan result, 1)
	go func() {
		resp, err := c.post(context.WithoutCancel(ctx), body, timeout)
		done <- result{resp, err}
	}()
	select {
	case res := <-done:
		return res.resp, res.err
	case <-ctx.Done():
		return response{}, ctx.Err()
	}
}

func (c *Client) post(ctx context.Context, body []byte, timeout time.Duration) (response, error) {
	httpRequest, httpResponse := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(httpRequest)
	defer protocol.ReleaseResponse(httpResponse)
	httpRequest.SetRequestURI(c.url)
	httpRequest.SetMethod(consts.MethodPost)
	httpRequest.SetBody(body)
	var resp response
	if err := c.http.DoTimeout(ctx, httpRequest, httpResponse, timeout); err != nil {
		return resp, err
	}
	if err := json.Unmarshal(httpResponse.Body(), &resp); err != nil {
		return resp, &CallError{Status: httpResponse.StatusCode(), Message: err.Error()}
	}
	return resp, nil
}

// toStoreError maps the error of a failed exchange to an error of package store. A
// write did not run if the connection was refused; after any other error the write
// may have taken effect.
func toStoreError(req request, err error) error {
	isWrite := req.Op == "create" || req.Op == "update" || req.Op == "delete"
	if isWrite && !errors.Is(err, syscall.ECONNREFUSED) {
		return &store.OutcomeUnknownError{Op: req.Op, Key: req.Key, Cause: err}
	}
	return &store.UnavailableError{Op: req.Op, Cause: err}
}
