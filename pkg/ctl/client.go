package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/pkg/responsehead"
)

// dialTimeout bounds the wait for a connection to an unreachable server.
const dialTimeout = 2 * time.Second

// UnreachableError reports that no server responded.
type UnreachableError struct {
	Servers []string
	Causes  []error
}

func (e *UnreachableError) Error() string {
	parts := make([]string, len(e.Servers))
	for i, server := range e.Servers {
		parts[i] = fmt.Sprintf("%s: %v", server, e.Causes[i])
	}
	return "no server answers: " + strings.Join(parts, "; ")
}

// Unwrap returns the causes.
func (e *UnreachableError) Unwrap() []error { return e.Causes }

// client sends each request to the first server that responds.
type client struct {
	http    *http.Client
	servers []string
	scheme  string
	token   string
	timeout time.Duration
}

func newClient(servers []string, token, caFile string, timeout time.Duration) (*client, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}
	c := &client{
		servers: servers, scheme: "http://", token: token, timeout: timeout,
		http: &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, &UsageError{Message: "-ca-file: " + err.Error()}
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return nil, &UsageError{Message: "-ca-file holds no certificate"}
		}
		c.scheme = "https://"
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}
	}
	return c, nil
}

// get sends a GET request to path with a query.
func (c *client) get(ctx context.Context, path string, query map[string]string, into any) error {
	return c.send(ctx, http.MethodGet, path, query, nil, into)
}

// post sends a POST request to path with body encoded as JSON.
func (c *client) post(ctx context.Context, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.send(ctx, http.MethodPost, path, nil, data, into)
}

// send tries the servers in order until one responds. An apply can reach more
// than one server this way; its idempotency key prevents a second application.
func (c *client) send(ctx context.Context, method, path string, query map[string]string, body []byte, into any) error {
	unreachable := &UnreachableError{}
	for _, server := range c.servers {
		status, data, err := c.exchange(ctx, server, method, path, query, body)
		if err == nil {
			return decodeResponse(server, status, data, into)
		}
		unreachable.Servers = append(unreachable.Servers, server)
		unreachable.Causes = append(unreachable.Causes, err)
		if ctx.Err() != nil {
			break
		}
	}
	return unreachable
}

func (c *client) exchange(ctx context.Context, server, method, path string, query map[string]string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+server+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	values := url.Values{}
	for name, value := range query {
		if value != "" {
			values.Set(name, value)
		}
	}
	request.URL.RawQuery = values.Encode()
	request.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		var urlErr *url.Error
		if errors.As(err, &urlErr) {
			err = urlErr.Err // without the URL, which names the server again
		}
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := responsehead.Check(response); err != nil {
		return 0, nil, err
	}
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

func decodeResponse(server string, status int, data []byte, into any) error {
	if status != http.StatusOK {
		var body admin.ErrorBody
		if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
			return &ResponseError{Server: server, Status: status}
		}
		return body.Error
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &ResponseError{Server: server, Status: status, Cause: err}
	}
	return nil
}

// ResponseError reports a response that does not come from the administration
// API.
type ResponseError struct {
	Server string
	Status int
	Cause  error
}

func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s: answer with status %d is not of the administration API", e.Server, e.Status)
}

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }
