package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"nutmegstand.example/nutmegstand/pkg/responsehead"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// watchMargin is the time allowed for the response of a watch in addition to
	// its wait.
	watchMargin = 2 * time.Second
	// maxWatch bounds the wait of one watch call.
	maxWatch = 30 * time.Second
	// maxIdleConns is the number of idle connections that are kept for later calls.
	maxIdleConns = 4
	// maxResponseHeader is the size in bytes of the largest response header.
	maxResponseHeader = 64 << 10
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 10 * time.Second
)

// Client implements store.Store over HTTP. It uses the client of net/http, since that of
// hertz does not tell a response with status 000 from one with status 200.
type Client struct {
	url     string
	timeout time.Duration
	http    *http.Client
}

var _ store.Store = (*Client)(nil)

// NewClient returns a client for the store at address (host:port). timeout bounds
// every call except Watch.
func NewClient(address string, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
	return &Client{
		url: "http://" + address + Path, timeout: timeout,
		http: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}
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
	resp, err := c.post(ctx, body, timeout)
	if err != nil {
		return response{}, toStoreError(req, err)
	}
	if resp.Error != nil {
		return response{}, resp.Error.decode(req)
	}
	return resp, nil
}

// post posts body and decodes the response.
func (c *Client) post(ctx context.Context, body []byte, timeout time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	if err := responsehead.Check(httpResponse); err != nil {
		return response{}, err
	}
	content, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return response{}, err
	}
	if httpResponse.StatusCode != http.StatusOK {
		return response{}, &CallError{Status: httpResponse.StatusCode, Message: "unexpected status"}
	}
	var resp response
	if err := json.Unmarshal(content, &resp); err != nil {
		return response{}, &CallError{Status: httpResponse.StatusCode, Message: err.Error()}
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
