package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/accept"
	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

var testNow = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// fakeFleet is a provider whose second domain reaches the store's version after
// a given number of status requests.
type fakeFleet struct {
	acceptor *accept.Acceptor
	lagPolls atomic.Int64 // status requests until the second domain has the version
}

func (f *fakeFleet) Status(ctx context.Context) (Status, error) {
	current, err := f.acceptor.Get(ctx)
	if err != nil {
		return Status{}, err
	}
	version := current.Configuration.Version
	second := DomainStatus{Domain: "kgl-b", Version: version, Members: 3}
	if f.lagPolls.Add(-1) >= 0 {
		second.Version, second.Behind, second.BehindNames = version-1, 1, []string{"vm7"}
	}
	domains := []DomainStatus{{Domain: "kgl-a", Version: version, Members: 4}, second}
	return Status{Daemon: "vm1", Version: version, Domains: domains, Store: StoreStatus{Reachable: true}}, nil
}

func (f *fakeFleet) Moves(context.Context, string) ([]MoveStatus, error) { return nil, nil }

func (f *fakeFleet) Explain(_ context.Context, r ExplainRequest) (Explanation, error) {
	if r.Path == "/panic" {
		panic("explain failed")
	}
	return Explanation{Matched: true, Route: r.Method + r.Host + r.Path}, nil
}

type fixture struct {
	url    string
	store  *standin.Store
	fleet  *fakeFleet
	client *http.Client
	stop   func() // stops the server and waits for Serve to return
}

func start(t testing.TB, edit func(*Options)) *fixture {
	t.Helper()
	backing := standin.New(1)
	a := accept.New(accept.Options{Store: backing, Logger: zap.NewNop(), Now: func() time.Time { return testNow }})
	f := &fakeFleet{acceptor: a}
	options := Options{Configurations: a, Status: f, Moves: f, Explainer: f, Logger: zap.NewNop()}
	options.Settings.RequestsPerSecond, options.Settings.Burst = 1e6, 1e6
	options.Settings.Tokens = []Token{
		{Name: "all", SHA256: config.Digest([]byte("secret-all"))},
		{Name: "sales", SHA256: config.Digest([]byte("secret-sales")), Teams: []string{"sales"}},
		{Name: "reader", SHA256: config.Digest([]byte("secret-reader")), ReadOnly: true},
	}
	if edit != nil {
		edit(&options)
	}
	s, err := New(options)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, listener) }()
	client := &http.Client{Transport: &http.Transport{}}
	stop := sync.OnceFunc(func() {
		client.CloseIdleConnections()
		cancel()
		assert.Check(t, <-done)
	})
	t.Cleanup(stop)
	return &fixture{url: "http://" + listener.Addr().String(), store: backing, fleet: f, client: client, stop: stop}
}

// send makes a request and decodes the response body into the parameter into if the
// status is 200, and into the returned Failure otherwise.
func (f *fixture) send(t testing.TB, method, path, token string, body []byte, into any) (int, *Failure) {
	t.Helper()
	request, err := http.NewRequest(method, f.url+path, bytes.NewReader(body))
	assert.NilError(t, err)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := f.client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	if response.StatusCode == http.StatusOK {
		if into != nil {
			assert.NilError(t, json.Unmarshal(data, into), "%s", data)
		}
		return response.StatusCode, nil
	}
	var failure ErrorBody
	assert.NilError(t, json.Unmarshal(data, &failure), "%s", data)
	assert.Assert(t, failure.Error != nil && statusByKind[failure.Error.Kind] == response.StatusCode, "%s", data)
	return response.StatusCode, failure.Error
}

func serviceJSON(name, team string, slots int) string {
	return fmt.Sprintf(`{"name":%q,"team":%q,"version":"v1","slots":%d,"connections":100}`, name, team, slots)
}

func applyBody(operation string, wait time.Duration, services ...string) []byte {
	content := `{"teams":[{"name":"sales"},{"name":"stock"}],"services":[` + strings.Join(services, ",") + `]}`
	data, _ := json.Marshal(FilesRequest{Operation: operation, WaitMS: wait.Milliseconds(), Files: []FileBody{{Name: "f.json", Content: content}}})
	return data
}

// TestRefusals verifies that requests that are invalid, lack a valid token or
// exceed the permissions of their token fail with a typed error body, and that
// they write nothing to the store.
func TestRefusals(t *testing.T) {
	f := start(t, nil)
	status, failure := f.send(t, "POST", PathApply, "secret-all", applyBody("op1", 0, serviceJSON("orders", "sales", 1), serviceJSON("stock", "stock", 1)), nil)
	assert.Equal(t, status, 200, "%v", failure)
	writes := f.store.Counts().Writes
	big := applyBody("op2", 0, strings.Repeat(" ", defaultMaxBodyBytes))
	conflict := []byte(`{"operation":"op3","baseVersion":9,"files":[{"name":"f","content":"{}"}]}`)
	cases := []struct {
		name, method, path, token string
		body                      []byte
		kind                      Kind
	}{
		{"no token", "GET", PathConfig, "", nil, KindUnauthorized},
		{"wrong token", "GET", PathConfig, "secret", nil, KindUnauthorized},
		{"digest as token", "GET", PathConfig, config.Digest([]byte("secret-all")), nil, KindUnauthorized},
		{"unknown path without token", "GET", "/", "", nil, KindUnauthorized},
		{"large body without token", "POST", PathApply, "", big, KindUnauthorized},
		{"unknown path", "GET", "/v2/config", "secret-all", nil, KindNotFound},
		{"wrong method", "GET", PathApply, "secret-all", nil, KindMethodNotAllowed},
		{"large body", "POST", PathApply, "secret-all", big, KindTooLarge},
		{"not JSON", "POST", PathApply, "secret-all", []byte("{"), KindBadRequest},
		{"unknown field", "POST", PathApply, "secret-all", []byte(`{"author":"x"}`), KindBadRequest},
		{"trailing content", "POST", PathCheck, "secret-all", []byte(`{"files":[]} {}`), KindBadRequest},
		{"no operation", "POST", PathApply, "secret-all", applyBody("", 0), KindBadRequest},
		{"long wait", "POST", PathApply, "secret-all", applyBody("op4", 2*MaxWait), KindBadRequest},
		{"no files", "POST", PathCheck, "secret-all", []byte(`{"files":[]}`), KindRefused},
		{"bad file", "POST", PathApply, "secret-all", applyBody("op5", 0, serviceJSON("new", "none", 1)), KindRefused},
		{"future base version", "POST", PathApply, "secret-all", conflict, KindBadRequest},
		{"reused operation", "POST", PathApply, "secret-all", applyBody("op1", 0, serviceJSON("orders", "sales", 2)), KindOperationReused},
		{"read-only token", "POST", PathApply, "secret-reader", applyBody("op6", 0, serviceJSON("orders", "sales", 2)), KindForbidden},
		{"service of another team", "POST", PathApply, "secret-sales", applyBody("op7", 0, serviceJSON("stock", "stock", 2)), KindForbidden},
		{"service moved from another team", "POST", PathApply, "secret-sales", applyBody("op8", 0, serviceJSON("stock", "sales", 1)), KindForbidden},
		{"service moved to another team", "POST", PathApply, "secret-sales", applyBody("op9", 0, serviceJSON("orders", "stock", 1)), KindForbidden},
		{"unknown service", "GET", PathConfig + "?service=none", "secret-all", nil, KindNotFound},
		{"bad path", "GET", PathExplain + "?host=h&path=p", "secret-all", nil, KindBadRequest},
		{"panic in a handler", "GET", PathExplain + "?host=h&path=/panic", "secret-all", nil, KindInternal},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, failure := f.send(t, c.method, c.path, c.token, c.body, nil)
			assert.Assert(t, failure != nil)
			assert.Equal(t, failure.Kind, c.kind, "%v", failure)
		})
	}
	assert.Equal(t, f.store.Counts().Writes, writes)
}

// TestTeamToken verifies that a token limited to a team can change the services
// of that team.
func TestTeamToken(t *testing.T) {
	f := start(t, nil)
	both := []string{serviceJSON("orders", "sales", 1), serviceJSON("stock", "stock", 1)}
	status, failure := f.send(t, "POST", PathApply, "secret-all", applyBody("op1", 0, both...), nil)
	assert.Equal(t, status, 200, "%v", failure)
	var result ApplyResult
	status, failure = f.send(t, "POST", PathApply, "secret-sales", applyBody("op2", 0, serviceJSON("orders", "sales", 2), both[1]), &result)
	assert.Equal(t, status, 200, "%v", failure)
	assert.Equal(t, result.Version, uint64(2))
	var current ConfigResult
	f.send(t, "GET", PathConfig+"?service=orders", "secret-reader", nil, &current)
	assert.Equal(t, current.Last.Author, "sales")
	assert.Equal(t, current.Configuration.Services[0].Slots, 2)
}

// TestWait guards against a wait that reports completion before the version is in
// force in all domains, or that does not list the domains that are behind.
func TestWait(t *testing.T) {
	f := start(t, nil)
	var result ApplyResult
	f.fleet.lagPolls.Store(2)
	f.send(t, "POST", PathApply, "secret-all", applyBody("op1", 5*time.Second, serviceJSON("a", "sales", 1)), &result)
	assert.Assert(t, result.Wait != nil && result.Wait.Complete, "%+v", result.Wait)
	assert.Assert(t, result.Wait.WaitedMS >= 2*waitPollInterval.Milliseconds())
	f.fleet.lagPolls.Store(1000)
	f.send(t, "POST", PathApply, "secret-all", applyBody("op2", 300*time.Millisecond, serviceJSON("a", "sales", 2)), &result)
	assert.Assert(t, !result.Wait.Complete)
	assert.Equal(t, len(result.Wait.Behind), 1)
	assert.DeepEqual(t, result.Wait.Behind[0].BehindNames, []string{"vm7"})
}

// TestGracefulStop guards against a shutdown that aborts a request in flight.
func TestGracefulStop(t *testing.T) {
	f := start(t, nil)
	f.fleet.lagPolls.Store(4)
	stopped := make(chan struct{})
	time.AfterFunc(300*time.Millisecond, func() {
		f.stop()
		assert.Check(t, f.fleet.lagPolls.Load() < 0, "stopped while a request was in flight")
		close(stopped)
	})
	var result ApplyResult
	status, failure := f.send(t, "POST", PathApply, "secret-all", applyBody("op1", 5*time.Second, serviceJSON("a", "sales", 1)), &result)
	assert.Equal(t, status, 200, "%v", failure)
	assert.Assert(t, result.Wait.Complete)
	<-stopped
}

// TestStoreFailures guards against a store failure that is reported with the
// wrong outcome.
func TestStoreFailures(t *testing.T) {
	f := start(t, nil)
	f.store.SetFaults(standin.Faults{Down: true})
	_, failure := f.send(t, "POST", PathApply, "secret-all", applyBody("op1", 0, serviceJSON("a", "sales", 1)), nil)
	assert.Equal(t, failure.Kind, KindNotApplied)
	f.store.SetFaults(standin.Faults{LoseResponse: 1})
	var result ApplyResult
	status, failure := f.send(t, "POST", PathApply, "secret-all", applyBody("op1", 0, serviceJSON("a", "sales", 1)), &result)
	assert.Equal(t, status, 200, "%v", failure)
	assert.Equal(t, result.Version, uint64(1))
}

// TestRateLimit guards against unlimited guessing of tokens, and against
// unauthenticated requests that use up the rate limit of an operator.
func TestRateLimit(t *testing.T) {
	f := start(t, func(o *Options) { o.Settings.RequestsPerSecond, o.Settings.Burst = 0.001, 3 })
	for range 3 {
		_, failure := f.send(t, "GET", PathMoves, "guess", nil, nil)
		assert.Equal(t, failure.Kind, KindUnauthorized)
	}
	_, failure := f.send(t, "GET", PathMoves, "guess", nil, nil)
	assert.Equal(t, failure.Kind, KindRateLimited)
	for range 3 {
		status, _ := f.send(t, "GET", PathMoves, "secret-all", nil, nil)
		assert.Equal(t, status, 200)
	}
	_, failure = f.send(t, "GET", PathMoves, "secret-all", nil, nil)
	assert.Equal(t, failure.Kind, KindRateLimited)
}

// TestSettings guards against accepting malformed tokens and tokens with
// duplicate names or digests.
func TestSettings(t *testing.T) {
	validToken := Token{Name: "a", SHA256: config.Digest([]byte("a"))}
	for field, tokens := range map[string][]Token{
		"tokens[0].name":   {{Name: "a b", SHA256: validToken.SHA256}},
		"tokens[0].sha256": {{Name: "a", SHA256: "secret"}},
		"tokens[1].name":   {validToken, {Name: "a", SHA256: config.Digest([]byte("b"))}},
		"tokens[1].sha256": {validToken, {Name: "b", SHA256: strings.ToUpper(validToken.SHA256)}},
	} {
		_, err := New(Options{Settings: Settings{Tokens: tokens}})
		assert.ErrorContains(t, err, field)
	}
}

// FuzzAPI guards against requests that make the daemon panic, that get an error
// response without a typed body, or that are rejected but write to the store.
func FuzzAPI(f *testing.F) {
	f.Add(PathApply, applyBody("op1", 0, serviceJSON("a", "sales", 1)))
	f.Add(PathCheck, []byte(`{"files":[{"name":"f","content":"{\"teams\":[{}]}"}]}`))
	f.Add(PathDiff, []byte(`{"baseVersion":18446744073709551615,"files":[{"name":"","content":"[]"}]}`))
	server := start(f, nil)
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		if path != PathApply && path != PathCheck {
			path = PathDiff
		}
		before := server.store.Counts().Writes
		status, failure := server.send(t, "POST", path, "secret-all", body, nil)
		if status == 200 && path == PathApply {
			return
		}
		assert.Assert(t, status != 500, "%v", failure)
		assert.Equal(t, server.store.Counts().Writes, before)
	})
}
