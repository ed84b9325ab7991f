package proxy

import (
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/fleetview"
	"nutmegstand.example/nutmegstand/pkg/proxy/balance"
	"nutmegstand.example/nutmegstand/pkg/quota"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// explained is a caller side with two targets in each of two failure domains, and the
// source of what an explanation reads.
type explained struct {
	fakeLimiter
	all     []*balance.Endpoint
	limit   quota.State
	ingress *Ingress
}

func (x *explained) Endpoints(string) []*balance.Endpoint { return x.all }

func (x *explained) Choose(_ string, all []*balance.Endpoint) []*balance.Endpoint { return all }

func (x *explained) Explain(_ string, all []*balance.Endpoint) []VersionOption {
	return []VersionOption{{Share: 1, Endpoints: all}}
}

func (x *explained) Peek(string) (quota.State, bool) { return x.limit, true }

func (x *explained) load(near, far float64) {
	for _, e := range x.all {
		load := far
		if e.SameDomain {
			load = near
		}
		e.PublishLoad(load, time.Now())
	}
}

func (x *explained) each(change func(e *balance.Endpoint)) {
	for _, e := range x.all {
		change(e)
	}
}

const explainedKey = "key-5f1c"

func newExplained() *explained {
	x := &explained{limit: quota.State{Limit: quota.Limit{Rate: 5, Burst: 6}}}
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		x.all = append(x.all, &balance.Endpoint{Target: name, Domain: name[:1], SameDomain: name[0] == 'a', Service: "desk", Slots: 4, Available: true})
	}
	var config routing.Current
	config.Advance(&routing.Config{
		Version: 7,
		Routes: []*routing.Route{
			{Name: "look", Host: "h", Prefix: "/look/", Kind: routing.Idempotent, Timeout: time.Second, Objective: 400 * time.Millisecond, Priority: 3, Split: []routing.Share{{Service: "desk", Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/open/", Objective: 400 * time.Millisecond, Exempt: true, Split: []routing.Share{{Service: "desk", Weight: 1}}},
		},
		Workspaces: []*routing.Workspace{{Name: "acme", Rate: 5, Burst: 6, Priority: new(int), Keys: []routing.KeyDigest{routing.DigestKey(explainedKey)}}},
	})
	x.ingress = NewIngress(IngressOptions{
		Config: &config, Directory: x, Versions: x, Balancer: balance.New(zap.NewNop()), Gate: NewGate(GateOptions{}), Limiter: x,
		Budget: NewRetryBudget(0.2, 60, time.Second, func() int { return 1 }), Refusing: func() bool { return false }, Logger: zap.NewNop(),
	})
	return x
}

func (x *explained) explain(path, workspace string) fleetview.Explanation {
	explainer := Explainer{Ingress: x.ingress, Versions: x, Limits: x}
	return explainer.Explain(Description{Host: "h:80", Path: path, Method: http.MethodGet, Workspace: workspace})
}

// pause makes all targets fail.
func (x *explained) pause() {
	call := &Call{Objective: time.Second}
	for _, e := range x.all {
		x.ingress.Balancer.Choose(call.request(), []*balance.Endpoint{e}, nil)
		x.ingress.Balancer.Done(e, call.request(), &balance.Result{Failed: true, Unresponsive: true})
	}
}

// TestExplainOutcomes guards against an explanation that differs from what the caller side
// does, and against one that shows a key or a digest.
func TestExplainOutcomes(t *testing.T) {
	cold := func(x *explained) {
		x.each(func(e *balance.Endpoint) { e.ColdRate, e.WarmAt = 5, time.Now().Add(time.Minute) })
	}
	for _, c := range []struct {
		name, path, workspace string
		change                func(x *explained)
		outcome, reason       string
		status                int
		target, states        string // of the chosen target, the first letter is its domain
	}{
		{"own domain", "/look/1", "acme", nil, "sent", "own_domain", 0, "a", ""},
		{"own domain full", "/look/1", "acme", func(x *explained) { x.load(5, 0.1) }, "sent", "own_domain_full", 0, "b", ""},
		{"no room", "/look/1", "acme", func(x *explained) { x.load(5, 5) }, "refused", "no_room", 503, "a", "full"},
		{"no route", "/none", "acme", nil, "refused", "no_route", 404, "", ""},
		{"no targets", "/look/1", "acme", func(x *explained) { x.all = nil }, "refused", "no_target", 503, "", ""},
		{"evacuated", "/look/1", "acme", func(x *explained) {
			x.each(func(e *balance.Endpoint) { e.Evacuated, e.Available = true, false })
		}, "refused", "all_evacuated", 503, "", ""},
		{"paused", "/look/1", "acme", (*explained).pause, "sent", "all_paused", 0, "a", "paused"},
		{"cold", "/look/1", "acme", cold, "sent", "own_domain", 0, "a", "cold"},
		{"over the limit", "/look/1", "acme", func(x *explained) { x.limit.RetryAfter = time.Second }, "refused", "limited", 429, "a", ""},
		{"no key", "/look/1", "", nil, "refused", "no_key", 401, "", ""},
		{"no such workspace", "/look/1", "other", nil, "refused", "unknown_key", 401, "", ""},
		{"exempt", "/open/1", "", nil, "sent", "own_domain", 0, "a", ""},
		{"stopping", "/look/1", "acme", func(x *explained) { x.ingress.Refusing = func() bool { return true } }, "refused", "stopping", 503, "", ""},
		{"no configuration", "/look/1", "acme", func(x *explained) { x.ingress.Config = &routing.Current{} }, "refused", "no_config", 503, "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { // the known loads do not age
				x := newExplained()
				if c.change != nil {
					c.change(x)
				}
				got := x.explain(c.path, c.workspace)
				assert.Equal(t, got.Outcome, c.outcome)
				assert.Equal(t, got.Reason, c.reason)
				assert.Equal(t, got.Status, c.status)
				assert.Assert(t, got.Detail != "")
				target, states := "", ""
				for _, choice := range got.Choices {
					assert.Equal(t, choice.Share, 1.0)
					assert.Equal(t, len(choice.Targets), len(x.all))
					for _, candidate := range choice.Targets {
						if candidate.Chosen {
							target, states = candidate.Zone, strings.Join(candidate.States, " ")
						}
					}
				}
				assert.Equal(t, target, c.target)
				assert.Equal(t, states, c.states)
				if got.Workspace != nil {
					assert.Equal(t, got.Workspace.Name, "acme")
					assert.Equal(t, got.Route.Priority, 0, "the priority of the workspace")
				}
				text, err := json.Marshal(got)
				assert.NilError(t, err)
				digest := routing.DigestKey(explainedKey)
				for _, secret := range []string{explainedKey, hex.EncodeToString(digest[:4])} {
					assert.Assert(t, !strings.Contains(string(text), secret), "%s", text)
				}
			})
		})
	}
}

// TestExplainTakesNothing guards against an explanation that takes a permit or the retry
// budget, or that changes the ages by which requests are refused.
func TestExplainTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newExplained()
		now := time.Now()
		x.ingress.ages.Age("look", 700*time.Millisecond, now)
		explainer := Explainer{Ingress: x.ingress, Versions: x, Limits: x}
		for range 100 {
			got := explainer.Explain(Description{Host: "h", Path: "/look/1", Workspace: "acme", Remaining: 600 * time.Millisecond})
			assert.Equal(t, got.Route.AgeMS, int64(100))
			explainer.Explain(Description{Host: "h", Path: "/look/1", Workspace: "acme", Remaining: 900 * time.Millisecond})
		}
		assert.Equal(t, x.acquired+x.released, 0)
		assert.Equal(t, len(x.ingress.Budget.services), 0)
		assert.Equal(t, x.ingress.ages.Peek("look", 600*time.Millisecond, now), 100*time.Millisecond)
		assert.Equal(t, len(x.ingress.Balancer.Loads()), 0)
	})
}
