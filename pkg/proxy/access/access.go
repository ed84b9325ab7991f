// Package access decides which requests may be sent to a target, and to which workspace
// they belong. It uses no network and keeps no state.
package access

import (
	"net/http"

	"nutmegstand.example/nutmegstand/pkg/routing"
)

// Reason is the reason why a request is not allowed.
type Reason string

// Reasons.
const (
	ReasonNoKey      Reason = "no_key"
	ReasonUnknownKey Reason = "unknown_key"
	// ReasonUnknownParent is that of a request without a key whose ID has the form of an
	// inner call. It may be one: a daemon that has just started does not know the
	// requests that run at its target.
	ReasonUnknownParent Reason = "unknown_parent"
)

// Credential is the key that a request carries, as a digest.
type Credential struct {
	Present bool
	Digest  routing.KeyDigest // zero if the header cannot be a key
}

// NewCredential returns the credential of a request with the given values of the key
// header. Several values are an unknown key, as each of them may be meant. An empty value
// is no key.
func NewCredential(values []string) Credential {
	switch {
	case len(values) == 0, len(values) == 1 && values[0] == "":
		return Credential{}
	case len(values) > 1:
		return Credential{Present: true}
	}
	return Credential{Present: true, Digest: routing.DigestKey(values[0])}
}

// Request is what is known of a request.
type Request struct {
	Credential Credential
	Inner      bool // its parent is in flight at the local target
	InnerForm  bool // its ID has the form of that of an inner call
}

// Decision is the result of a check. The zero value allows a request of no workspace.
type Decision struct {
	Reason    Reason             // empty if the request is allowed
	Workspace *routing.Workspace // nil if the request belongs to none
}

// Allowed reports whether the request may be sent to a target.
func (d Decision) Allowed() bool { return d.Reason == "" }

// Status returns the HTTP status for a request that is not allowed.
func (d Decision) Status() int {
	if d.Reason == ReasonUnknownParent {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnauthorized
}

// Decide checks a request for a route, nil if none matches.
func Decide(table *routing.Table, route *routing.Route, r Request) Decision {
	if !table.HasWorkspaces() {
		return Decision{}
	}
	if w := table.Authenticate(r.Credential.Digest); w != nil {
		return Decision{Workspace: w}
	}
	switch {
	case route != nil && route.Exempt:
		return Decision{}
	case r.Credential.Present:
		return Decision{Reason: ReasonUnknownKey}
	case r.Inner:
		return Decision{}
	case r.InnerForm:
		return Decision{Reason: ReasonUnknownParent}
	}
	return Decision{Reason: ReasonNoKey}
}

// Confirm reports whether another configuration allows a request and has it in the same
// workspace as the one by which it was allowed. An empty name stands for no workspace.
func Confirm(table *routing.Table, route *routing.Route, digest routing.KeyDigest, workspace string, inner bool) bool {
	credential := Credential{Present: !digest.IsZero(), Digest: digest}
	decision := Decide(table, route, Request{Credential: credential, Inner: inner})
	if !decision.Allowed() {
		return false
	}
	if decision.Workspace == nil {
		return workspace == ""
	}
	return decision.Workspace.Name == workspace
}
