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
	// adminTimeout bounds one question to a daemon; status alone takes up to
	// 2 s when the store is slow.
	adminTimeout = 4 * time.Second
	connsPerHost = 64
)

func newHTTPClient() (*client.Client, error) {
	return client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(connsPerHost))
}

// exchange is one HTTP exchange.
type exchange struct {
	method, url, host, body string
	headers                 map[string]string
	timeout                 time.Duration
}

// reply is a whole answer, with the part of its body that the scenarios need.
type reply struct {
	status  int
	outcome string // of the Nutmegstand-Outcome header
	closing bool   // the server asked to go elsewhere
	body    []byte
	Version string `json:"version"`
	Echo    string `json:"echo"`
	Run     string `json:"run"`
}

func (m *mesh) do(e exchange) (*reply, error) {
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
	r := &reply{
		status: response.StatusCode(), outcome: string(response.Header.Peek("Nutmegstand-Outcome")),
		closing: response.ConnectionClose(), body: bytes.Clone(response.Body()),
	}
	_ = json.Unmarshal(r.body, r) // refusals have plain text bodies
	return r, nil
}

// query asks the administration API of one daemon.
func (m *mesh) query(v *vm, path string, result any) error {
	r, err := m.do(exchange{
		method: consts.MethodGet, url: "http://" + v.address(portAdmin) + path, timeout: adminTimeout,
		headers: map[string]string{"Authorization": "Bearer " + adminToken},
	})
	if err != nil {
		return err
	}
	if r.status != consts.StatusOK {
		return fmt.Errorf("%s of %s: status %d: %s", path, v.name, r.status, r.body)
	}
	return json.Unmarshal(r.body, result)
}

func (m *mesh) status(v *vm) (admin.Status, error) {
	var s admin.Status
	return s, m.query(v, admin.PathStatus, &s)
}

// moveStatus returns the state of a move as any daemon tells it.
func (m *mesh) moveStatus(name string) (admin.MoveStatus, error) {
	err := errors.New("no daemon is up")
	for _, v := range m.up() {
		var list []admin.MoveStatus
		if err = m.query(v, admin.PathMoves, &list); err != nil {
			continue
		}
		for _, s := range list {
			if s.Move == name {
				return s, nil
			}
		}
		err = fmt.Errorf("%s knows no move %q", v.name, name)
	}
	return admin.MoveStatus{}, err
}

// nutmegctl runs a command in this process against one daemon.
func (m *mesh) nutmegctl(v *vm, command string, args ...string) (stdout, stderr string, code int) {
	var out, problems bytes.Buffer
	all := append([]string{command, "-server", v.address(portAdmin), "-token-file", m.tokenFile, "-o", "json"}, args...)
	code = ctl.Run(all, &out, &problems)
	return out.String(), problems.String(), code
}
