package routing

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMatch guards against a match of a shorter prefix, another host or a part of a
// path segment.
func TestMatch(t *testing.T) {
	table := NewTable(&Config{Routes: []*Route{
		{Name: "short", Host: "Fish.example", Prefix: "/a/"},
		{Name: "long", Host: "fish.example", Prefix: "/a/b/"},
		{Name: "root", Host: "all.example", Prefix: "/"},
	}})
	cases := map[[2]string]string{
		{"fish.example", "/a/x"}:        "short",
		{"fish.example", "/a/b/x"}:      "long",
		{"fish.example", "/a/b"}:        "short",
		{"FISH.example:8080", "/a/b/"}:  "long",
		{"fish.example", "/ab/"}:        "",
		{"fish.example", "/a"}:          "",
		{"other.example", "/a/"}:        "",
		{"all.example", "/any/thing.x"}: "root",
	}
	for request, want := range cases {
		got := ""
		if route := table.Match(request[0], request[1]); route != nil {
			got = route.Name
		}
		assert.Equal(t, got, want, "%v", request)
	}
}

// TestNeverBack guards against a daemon that puts an older configuration in force.
func TestNeverBack(t *testing.T) {
	var current Current
	assert.Assert(t, current.Advance(&Config{Version: 5}))
	assert.Assert(t, !current.Advance(&Config{Version: 5}))
	assert.Assert(t, !current.Advance(&Config{Version: 4}))
	assert.Equal(t, current.Load().Version(), uint64(5))
}

// TestDelta guards against a delta that does not result in the new version.
func TestDelta(t *testing.T) {
	configs := rapid.Custom(func(t *rapid.T) *Config {
		c := &Config{Version: rapid.Uint64Range(1, 1000).Draw(t, "version")}
		for i := range rapid.IntRange(0, 6).Draw(t, "routes") {
			c.Routes = append(c.Routes, &Route{
				Name: strconv.Itoa(i * rapid.IntRange(1, 3).Draw(t, "name") * 7 % 11), Attempts: rapid.IntRange(0, 1).Draw(t, "attempts"),
				Split:  []Share{{Service: "s", Weight: float64(rapid.IntRange(1, 2).Draw(t, "weight"))}},
				Exempt: rapid.Bool().Draw(t, "exempt"),
			})
		}
		c.Routes = uniqueByName(c.Routes)
		return c
	})
	rapid.Check(t, func(t *rapid.T) {
		before, after := configs.Draw(t, "before"), configs.Draw(t, "after")
		got, ok := before.Apply(after.Diff(before))
		if !ok || got.Version != after.Version || len(got.Routes) != len(after.Routes) {
			t.Fatalf("got configuration %+v, want %+v", got, after)
		}
		byName := make(map[string]*Route)
		for i := range got.Routes {
			byName[got.Routes[i].Name] = got.Routes[i]
		}
		for i := range after.Routes {
			if r := byName[after.Routes[i].Name]; r == nil || !r.equal(after.Routes[i]) {
				t.Fatalf("want route %+v, got %+v", after.Routes[i], r)
			}
		}
	})
}

func uniqueByName(routes []*Route) []*Route {
	seen := make(map[string]bool)
	var kept []*Route
	for _, r := range routes {
		if !seen[r.Name] {
			seen[r.Name] = true
			kept = append(kept, r)
		}
	}
	return kept
}

// TestDeltaOfAnotherVersion guards against a delta that is applied to a version
// other than the one from which it starts.
func TestDeltaOfAnotherVersion(t *testing.T) {
	_, ok := (&Config{Version: 3}).Apply(&Delta{From: 2, Version: 4})
	assert.Assert(t, !ok)
}

// TestVersionsShareRoutes guards against a history of versions that stores an
// unchanged route once per version.
func TestVersionsShareRoutes(t *testing.T) {
	version := func(v uint64, attempts int) *Config {
		return &Config{Version: v, Routes: []*Route{{Name: "same", Host: "h"}, {Name: "changed", Attempts: attempts}}}
	}
	var current Current
	assert.Assert(t, current.Advance(version(1, 1)))
	first := current.Load().Config
	assert.Assert(t, current.Advance(version(2, 2)))
	second := current.Load().Config
	assert.Assert(t, first.Routes[0] == second.Routes[0])
	assert.Equal(t, first.Routes[1].Attempts, 1)
	assert.Equal(t, second.Routes[1].Attempts, 2)
}
