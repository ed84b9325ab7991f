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
	// watchMargin is added to the wait of a watch for the answer to arrive.
	watchMargin = 2 * time.Second
	// maxWatch is the longest wait of one watch call.
	maxWatch = 30 * time.Second
)

// Client is a store.Store that reaches the platform over HTTP.
type Client struct {
	url     string
	timeout time.Duration
	http    *client.Client
}

var _ store.Store = (*Client)(nil)

// NewClient returns a client for the store at address (host:port). Each call
// other than Watch ends within timeout.
func NewClient(address string, timeout time.Duration) (*Client, error) {
	// The standard dialer, not netpoll, keeps the memory of the few store
	// connections small.
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(timeout))
	if err != nil {
		return nil, &store.UnavailableError{Op: "connect", Cause: err}
	}
	return &Client{url: "http://" + address + Path, timeout: timeout, http: c}, nil
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	return c.object(ctx, request{Op: "get", Key: key})
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	answer, err := c.call(ctx, request{Op: "list", Key: prefix}, c.timeout)
	return answer.Objects, answer.Revision, err
}

// Create implements store.Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	return c.object(ctx, request{Op: "create", Key: key, Value: value})
}

// Update implements store.Store.
func (c *Client) Update(ctx context.Context, key string, value []byte, ifRevision int64) (store.Object, error) {
	return c.object(ctx, request{Op: "update", Key: key, Value: value, Revision: ifRevision})
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, ifRevision int64) error {
	_, err := c.call(ctx, request{Op: "delete", Key: key, Revision: ifRevision}, c.timeout)
	return err
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) ([]store.Event, int64, error) {
	wait := maxWatch
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	r := request{Op: "watch", Key: prefix, Revision: from, WaitMS: wait.Milliseconds()}
	answer, err := c.call(ctx, r, wait+watchMargin)
	if err != nil {
		if ctx.Err() != nil {
			return nil, from, nil
		}
		return nil, from, err
	}
	return answer.Events, answer.Revision, nil
}

func (c *Client) object(ctx context.Context, r request) (store.Object, error) {
	answer, err := c.call(ctx, r, c.timeout)
	if err != nil || answer.Object == nil {
		return store.Object{}, err
	}
	return *answer.Object, nil
}

func (c *Client) call(ctx context.Context, r request, timeout time.Duration) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, &store.UnavailableError{Op: r.Op, Cause: err}
	}
	body, err := json.Marshal(r)
	if err != nil {
		return response{}, &store.UnavailableError{Op: r.Op, Cause: err}
	}
	answer, err := c.exchange(ctx, body, timeout)
	if err != nil {
		return response{}, callFailure(r, err)
	}
	if answer.Error != nil {
		return response{}, answer.Error.decode(r)
	}
	return answer, nil
}

// exchange returns when ctx ends, and leaves the HTTP exchange to its own
// timeout then: hertz does not observe ctx while it waits for an answer.
func (c *Client) exchange(ctx context.Context, body []byte, timeout time.Duration) (response, error) {
	type result struct {
		answer response
		err    error
	}
	done := make(chan result, 1)
	go func() {
		answer, err := c.post(context.WithoutCancel(ctx), body, timeout)
		done <- result{answer, err}
	}()
	select {
	case r := <-done:
		return r.answer, r.err
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
	var answer response
	if err := c.http.DoTimeout(ctx, httpRequest, httpResponse, timeout); err != nil {
		return answer, err
	}
	if err := json.Unmarshal(httpResponse.Body(), &answer); err != nil {
		return answer, &CallError{Status: httpResponse.StatusCode(), Message: err.Error()}
	}
	return answer, nil
}

// callFailure turns a failed exchange into an error of package store. A write
// whose connection was never made did not run; any other failed write may have.
func callFailure(r request, err error) error {
	isWrite := r.Op == "create" || r.Op == "update" || r.Op == "delete"
	if isWrite && !errors.Is(err, syscall.ECONNREFUSED) {
		return &store.OutcomeUnknownError{Op: r.Op, Key: r.Key, Cause: err}
	}
	return &store.UnavailableError{Op: r.Op, Cause: err}
}
