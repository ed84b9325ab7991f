package ctl

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/accept"
	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"nutmegctl": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// testTime precedes the dates of the moves in the examples.
var testTime = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// testServer is an in-process administration server with an in-memory store.
type testServer struct {
	store    *standin.Store
	acceptor *accept.Acceptor
	address  string
	behind   atomic.Bool // the domain does not receive new versions
}

func (s *testServer) Status(ctx context.Context) (admin.Status, error) {
	current, err := s.acceptor.Get(ctx)
	if err != nil {
		since := testTime
		return admin.Status{Daemon: "vm1", Domain: "kgl-a", Store: admin.StoreStatus{StaleSince: &since}}, nil
	}
	version := current.Configuration.Version
	domain := admin.DomainStatus{Domain: "kgl-a", Version: version, Members: 3}
	if s.behind.Load() {
		domain.Version, domain.Behind, domain.BehindNames = version-1, 1, []string{"vm3"}
	}
	return admin.Status{
		Daemon: "vm1", Domain: "kgl-a", Version: version, FleetVersion: version,
		Domains: []admin.DomainStatus{domain}, Store: admin.StoreStatus{Reachable: true},
	}, nil
}

func (s *testServer) Moves(context.Context, string) ([]admin.MoveStatus, error) {
	return []admin.MoveStatus{{Service: "tournee", Move: "weighing-fix", From: "r7", To: "r8", By: testTime, State: admin.MoveTakenBack, Recorded: true, Reason: "errors on book"}}, nil
}

func (s *testServer) Explain(_ context.Context, r admin.ExplainRequest) (admin.Explanation, error) {
	if r.Method != "POST" {
		return admin.Explanation{Version: 3, Reason: "no route of " + r.Host + " has " + r.Path}, nil
	}
	return admin.Explanation{
		Version: 3, Matched: true, Service: "orderdesk", Team: "sales", Route: "place-order", DeadlineMS: 2000, Attempts: 3,
		Versions: []admin.VersionShare{{Version: "v2", Share: 0.05, Move: "m"}},
		Targets:  []admin.TargetChoice{{Name: "vm3", Domain: "kgl-a", Version: "v2", Slots: 10, InUse: 2, Usable: true}},
	}, nil
}

func startServer(t *testing.T, tls *admin.TLSSettings) *testServer {
	s := &testServer{store: standin.New(1)}
	s.acceptor = accept.New(accept.Options{Store: s.store, Logger: zap.NewNop(), Now: func() time.Time { return testTime }})
	server, err := admin.New(admin.Options{
		Settings:       admin.Settings{Tokens: []admin.Token{{Name: "op", SHA256: config.Digest([]byte("secret"))}}, TLS: tls},
		Configurations: s.acceptor, Status: s, Moves: s, Explainer: s, Logger: zap.NewNop(),
	})
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
	})
	return s
}

// TestScripts verifies the effects, output and exit codes of commands against the
// operator documentation. Comments in each script describe its cases.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			s := startServer(t, nil)
			env.Values["server"] = s
			env.Setenv("SERVER", s.address)
			env.Setenv("EXAMPLES", examples)
			return os.WriteFile(filepath.Join(env.WorkDir, "token"), []byte("secret\n"), 0o600)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"code": scriptCode, "store": scriptStore, "domain": scriptDomain, "writes": scriptWrites},
	})
}

// scriptCode runs nutmegctl with the common flags and checks its exit code. It
// runs in this process, since starting a process under the race detector is slow.
func scriptCode(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value("server").(*testServer)
	commandLine := []string{args[1], "-server", s.address, "-token-file", ts.MkAbs("token")}
	for _, arg := range args[2:] {
		if _, err := os.Stat(ts.MkAbs(arg)); err == nil {
			arg = ts.MkAbs(arg)
		}
		commandLine = append(commandLine, arg)
	}
	if got := Run(commandLine, ts.Stdout(), ts.Stderr()); strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit code %d, expected %s", got, args[0])
	}
}

// scriptStore switches the faults of the store.
func scriptStore(ts *testscript.TestScript, _ bool, args []string) {
	faults := map[string]standin.Faults{"up": {}, "down": {Down: true}, "lose": {LoseResponse: 1}}
	ts.Value("server").(*testServer).store.SetFaults(faults[args[0]])
}

// scriptDomain sets whether the domain is behind.
func scriptDomain(ts *testscript.TestScript, _ bool, args []string) {
	ts.Value("server").(*testServer).behind.Store(args[0] == "behind")
}

// scriptWrites checks the total number of store writes.
func scriptWrites(ts *testscript.TestScript, _ bool, args []string) {
	if got := ts.Value("server").(*testServer).store.Counts().Writes; strconv.FormatInt(got, 10) != args[0] {
		ts.Fatalf("%d writes, expected %s", got, args[0])
	}
}

// TestTLS guards against sending the token to a server whose certificate is not
// signed by a CA from -ca-file.
func TestTLS(t *testing.T) {
	directory := t.TempDir()
	settings := writeCertificate(t, directory, "server")
	otherCA := writeCertificate(t, directory, "other")
	s := startServer(t, settings)
	c, err := newClient([]string{s.address}, "secret", settings.CertificateFile, time.Second)
	assert.NilError(t, err)
	var status admin.Status
	assert.NilError(t, c.get(t.Context(), admin.PathStatus, nil, &status))
	assert.Equal(t, status.Daemon, "vm1")
	c.http.CloseIdleConnections()
	c, err = newClient([]string{s.address}, "secret", otherCA.CertificateFile, time.Second)
	assert.NilError(t, err)
	var unreachable *UnreachableError
	assert.Assert(t, errors.As(c.get(t.Context(), admin.PathStatus, nil, &status), &unreachable))
}

func writeCertificate(t *testing.T, directory, name string) *admin.TLSSettings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	privateKey, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	settings := &admin.TLSSettings{CertificateFile: filepath.Join(directory, name+".pem"), KeyFile: filepath.Join(directory, name+".key")}
	for file, block := range map[string]*pem.Block{
		settings.CertificateFile: {Type: "CERTIFICATE", Bytes: certificate},
		settings.KeyFile:         {Type: "PRIVATE KEY", Bytes: privateKey},
	} {
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
	}
	return settings
}
