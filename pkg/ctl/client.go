package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	hertz "github.com/cloudwego/hertz/pkg/app/client"
	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"nutmegstand.example/nutmegstand/pkg/admin"
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
	http    *hertz.Client
	servers []string
	scheme  string
	token   string
	timeout time.Duration
}

func newClient(servers []string, token, caFile string, timeout time.Duration) (*client, error) {
	c := &client{servers: servers, scheme: "http://", token: token, timeout: timeout}
	options := []hertzconfig.ClientOption{hertz.WithDialer(standard.NewDialer()), hertz.WithDialTimeout(dialTimeout)}
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
		options = append(options, hertz.WithTLSConfig(&tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}))
	}
	var err error
	if c.http, err = hertz.NewClient(options...); err != nil {
		return nil, err
	}
	return c, nil
}

// get sends a GET request to path with a query.
func (c *client) get(ctx context.Context, path string, query map[string]string, into any) error {
	return c.send(ctx, consts.MethodGet, path, query, nil, into)
}

// post sends a POST request to path with body encoded as JSON.
func (c *client) post(ctx context.Context, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.send(ctx, consts.MethodPost, path, nil, data, into)
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
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI(c.scheme + server + path)
	for name, value := range query {
		if value != "" {
			request.URI().QueryArgs().Add(name, value)
		}
	}
	request.SetHeader("Authorization", "Bearer "+c.token)
	if body != nil {
		request.SetBody(body)
		request.SetHeader("Content-Type", "application/json")
	}
	if err := c.http.DoTimeout(ctx, request, response, c.timeout); err != nil {
		return 0, nil, err
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

func decodeResponse(server string, status int, data []byte, into any) error {
	if status != consts.StatusOK {
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
