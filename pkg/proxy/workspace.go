package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/proxy/access"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// takeCredential removes the key and the workspace from the header of a caller's request
// and returns the key's digest. A deployment without these headers keeps all headers.
func (n HeaderNames) takeCredential(h http.Header) access.Credential {
	if n.Workspace != "" {
		delete(h, n.Workspace)
	}
	if n.Key == "" {
		return access.Credential{}
	}
	credential := access.NewCredential(h[n.Key])
	delete(h, n.Key)
	return credential
}

// setWorkspace sets the workspace in the header of a request to a target, and removes the
// key, which a daemon of another release may not have removed.
func (n HeaderNames) setWorkspace(h http.Header, workspace string) {
	if n.Key != "" {
		delete(h, n.Key)
	}
	switch {
	case n.Workspace == "":
	case workspace == "":
		delete(h, n.Workspace)
	default:
		h[n.Workspace] = []string{workspace}
	}
}

// client is what a request says about its sender.
type client struct {
	access.Request
	parentRetried bool // the request is a call of a run that was itself a retry
}

func (i *Ingress) identify(id string, credential access.Credential) client {
	inner, retried := i.Gate.FindParent(id)
	at := strings.LastIndex(id, callSeparator)
	innerForm := at > 0 && at < len(id)-len(callSeparator)
	return client{access.Request{Credential: credential, Inner: inner, InnerForm: innerForm}, retried}
}

func (c client) decide(table *routing.Table, route *routing.Route) access.Decision {
	return access.Decide(table, route, c.Request)
}

// setWorkspace applies the workspace of the request, nil if it has none, to the call.
func (s *requestState) setWorkspace(table *routing.Table, workspace *routing.Workspace) {
	c := s.call
	c.Workspace, c.KeyDigest = "", routing.KeyDigest{}
	if table.HasWorkspaces() {
		c.KeyDigest = s.client.Credential.Digest
	}
	if workspace == nil {
		return
	}
	c.Workspace = workspace.Name
	if workspace.Priority != nil {
		c.Priority = *workspace.Priority
	}
}

func (s *requestState) workspaceField() zap.Field {
	if s.call.Workspace == "" {
		return zap.Skip()
	}
	return zap.String("workspace", s.call.Workspace)
}

// deny responds to a request that the configuration in force does not allow.
func (i *Ingress) deny(w http.ResponseWriter, r *http.Request, decision access.Decision, received time.Time) {
	if decision.Status() == http.StatusServiceUnavailable {
		i.refuse(w, r.Header.Get(i.Names.RequestID), string(decision.Reason), defaultRetryAfter, received)
		return
	}
	i.reject(w, r, decision.Status(), string(decision.Reason), received)
}

// writeDenial responds to a request that a newer configuration does not allow.
func writeDenial(w http.ResponseWriter, decision access.Decision) {
	if decision.Status() == http.StatusServiceUnavailable {
		writeRetryAfter(w, defaultRetryAfter)
		return
	}
	writeEmpty(w, decision.Status())
}

// withdraw records that a newer configuration does not allow the request.
func (s *requestState) withdraw(table *routing.Table, decision access.Decision) {
	s.denied = decision
	s.addStep("not allowed by configuration " + strconv.FormatUint(table.Version(), 10))
	eventKeyWithdrawn.Log(s.ingress.Logger, zap.String("request", s.call.ID), zap.String("reason", string(decision.Reason)),
		zap.String("workspace", s.call.Workspace), zap.Uint64("config", table.Version()))
}

// confirmAccess reports whether a newer configuration than that of the caller side allows
// a call in the same workspace.
func (g *Gate) confirmAccess(table *routing.Table, route *routing.Route, call *Call) bool {
	if access.Confirm(table, route, call.KeyDigest, call.Workspace, call.Inner) {
		return true
	}
	eventKeyStale.Log(g.Logger, zap.String("request", call.ID), zap.String("workspace", call.Workspace),
		zap.Uint64("caller_config", call.ConfigVersion), zap.Uint64("config", table.Version()))
	return false
}
