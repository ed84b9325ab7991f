package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/pkg/ctl"
)

const (
	dialTimeout = time.Second
	// adminTimeout bounds one request to the administration API. A status request
	// alone takes up to 2 s when the store is slow.
	adminTimeout = 4 * time.Second
	connsPerHost = 64
)

func newHTTPClient() (*client.Client, error) {
	return client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(connsPerHost))
}

// httpRequest describes one HTTP request.
type httpRequest struct {
	method, url, host, body string
	headers                 map[string]string
	timeout                 time.Duration
}

// httpResponse is a complete response, with the fields of its body that the
// scenarios use.
type httpResponse struct {
	status          int
	outcome         string // value of the Nutmegstand-Outcome header
	connectionClose bool   // the server asked the client to use another connection
	body            []byte
	Version         string `json:"version"`
	Echo            string `json:"echo"`
	Run             string `json:"run"`
}

func (m *mesh) do(e httpRequest) (*httpResponse, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(e.method)
	request.SetRequestURI(e.url)
	if e.host != "" {
		request.Header.SetHost(e.host)
	}
	for name, value := range e.headers {
		request.Header.Set(name, value)
	}
	if e.body != "" {
		request.SetBodyString(e.body)
	}
	if err := m.http.DoTimeout(context.Background(), request, response, e.timeout); err != nil {
		return nil, err
	}
	r := &httpResponse{
		status: response.StatusCode(), outcome: string(response.Header.Peek("Nutmegstand-Outcome")),
		connectionClose: response.ConnectionClose(), body: bytes.Clone(response.Body()),
	}
	_ = json.Unmarshal(r.body, r) // refused calls have plain text bodies
	return r, nil
}

// query sends a GET request to the administration API of one daemon.
func (m *mesh) query(v *vm, path string, result any) error {
	r, err := m.do(httpRequest{
		method: consts.MethodGet, url: "http://" + v.address(portAdmin) + path, timeout: adminTimeout,
		headers: map[string]string{"Authorization": "Bearer " + adminToken},
	})
	if err != nil {
		return err
	}
	if r.status != consts.StatusOK {
		return fmt.Errorf("GET %s at %s: status %d: %s", path, v.name, r.status, r.body)
	}
	return json.Unmarshal(r.body, result)
}

func (m *mesh) status(v *vm) (admin.Status, error) {
	var s admin.Status
	return s, m.query(v, admin.PathStatus, &s)
}

// moveStatus returns the status of a move from the first daemon that knows it.
func (m *mesh) moveStatus(name string) (admin.MoveStatus, error) {
	err := errors.New("no daemon is available")
	for _, v := range m.available() {
		var list []admin.MoveStatus
		if err = m.query(v, admin.PathMoves, &list); err != nil {
			continue
		}
		for _, s := range list {
			if s.Move == name {
				return s, nil
			}
		}
		err = fmt.Errorf("%s reports no move %q", v.name, name)
	}
	return admin.MoveStatus{}, err
}

// nutmegctl runs a nutmegctl command against one daemon, within this process.
func (m *mesh) nutmegctl(v *vm, command string, args ...string) (stdout, stderr string, code int) {
	var out, errOut bytes.Buffer
	argv := append([]string{command, "-server", v.address(portAdmin), "-token-file", m.tokenFile, "-o", "json"}, args...)
	code = ctl.Run(argv, &out, &errOut)
	return out.String(), errOut.String(), code
}
