package access

import (
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/routing"
)

var (
	acme = &routing.Workspace{Name: "acme", Keys: []routing.KeyDigest{routing.DigestKey("k1")}}
	with = routing.NewTable(&routing.Config{Workspaces: []*routing.Workspace{acme}})
	bare = routing.NewTable(&routing.Config{})
)

// TestDecide guards against a request that is refused although the configuration allows
// it, and against one that runs without a valid key.
func TestDecide(t *testing.T) {
	known, unknown, several := NewCredential([]string{"k1"}), NewCredential([]string{"k2"}), NewCredential([]string{"k1", "k1"})
	exempt, closed := &routing.Route{Exempt: true}, &routing.Route{}
	inWorkspace := Decision{Workspace: acme}
	for name, c := range map[string]struct {
		table   *routing.Table
		route   *routing.Route
		request Request
		want    Decision
	}{
		"no workspaces":             {bare, closed, Request{Credential: unknown}, Decision{}},
		"known key":                 {with, closed, Request{Credential: known}, inWorkspace},
		"known key, exempt":         {with, exempt, Request{Credential: known}, inWorkspace},
		"known key, inner form":     {with, closed, Request{Credential: known, InnerForm: true}, inWorkspace},
		"known key, no route":       {with, nil, Request{Credential: known}, inWorkspace},
		"unknown key":               {with, closed, Request{Credential: unknown}, Decision{Reason: ReasonUnknownKey}},
		"unknown key, exempt":       {with, exempt, Request{Credential: unknown}, Decision{}},
		"unknown key, inner":        {with, closed, Request{Credential: unknown, Inner: true, InnerForm: true}, Decision{Reason: ReasonUnknownKey}},
		"several keys":              {with, closed, Request{Credential: several}, Decision{Reason: ReasonUnknownKey}},
		"no key":                    {with, closed, Request{}, Decision{Reason: ReasonNoKey}},
		"no key, no route":          {with, nil, Request{}, Decision{Reason: ReasonNoKey}},
		"no key, exempt":            {with, exempt, Request{}, Decision{}},
		"empty key":                 {with, closed, Request{Credential: NewCredential([]string{""})}, Decision{Reason: ReasonNoKey}},
		"inner call":                {with, closed, Request{Inner: true, InnerForm: true}, Decision{}},
		"unknown parent":            {with, closed, Request{InnerForm: true}, Decision{Reason: ReasonUnknownParent}},
		"unknown parent and exempt": {with, exempt, Request{InnerForm: true}, Decision{}},
	} {
		assert.Equal(t, Decide(c.table, c.route, c.request), c.want, name)
	}
	assert.Equal(t, Decision{Reason: ReasonNoKey}.Status(), 401)
	assert.Equal(t, Decision{Reason: ReasonUnknownKey}.Status(), 401)
	assert.Equal(t, Decision{Reason: ReasonUnknownParent}.Status(), 503)
}

// TestConfirm guards against a call that runs although a newer configuration withdrew or
// moved its key, and against one that is sent back although nothing changed for it.
func TestConfirm(t *testing.T) {
	known, unknown, none := routing.DigestKey("k1"), routing.DigestKey("k2"), routing.KeyDigest{}
	exempt, closed := &routing.Route{Exempt: true}, &routing.Route{}
	for name, c := range map[string]struct {
		table     *routing.Table
		route     *routing.Route
		digest    routing.KeyDigest
		workspace string
		inner     bool
		want      bool
	}{
		"unchanged":               {with, closed, known, "acme", false, true},
		"moved":                   {with, closed, known, "other", false, false},
		"withdrawn":               {with, closed, unknown, "acme", false, false},
		"withdrawn, exempt":       {with, exempt, unknown, "acme", false, false}, // the name must no longer be sent
		"unknown, exempt":         {with, exempt, unknown, "", false, true},
		"now known, exempt":       {with, exempt, known, "", false, false},
		"no longer exempt":        {with, closed, none, "", false, false},
		"first workspaces":        {with, closed, none, "", false, false},
		"inner call":              {with, closed, none, "", true, true},
		"no workspaces any more":  {bare, closed, known, "acme", false, false},
		"no workspaces as before": {bare, closed, none, "", false, true},
	} {
		assert.Equal(t, Confirm(c.table, c.route, c.digest, c.workspace, c.inner), c.want, name)
	}
}

// BenchmarkDecide measures the check of a request among 10,000 keys.
func BenchmarkDecide(b *testing.B) {
	w := &routing.Workspace{Name: "w", Keys: []routing.KeyDigest{routing.DigestKey("key-of-a-usual-length-0123456789")}}
	for i := range 9999 {
		w.Keys = append(w.Keys, routing.DigestKey(string(rune(i))+"x"))
	}
	table, route := routing.NewTable(&routing.Config{Workspaces: []*routing.Workspace{w}}), &routing.Route{}
	values := []string{"key-of-a-usual-length-0123456789"}
	b.ReportAllocs()
	for b.Loop() {
		if !Decide(table, route, Request{Credential: NewCredential(values)}).Allowed() {
			b.Fatal("not allowed")
		}
	}
}
