package routing

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func workspaceVersions() *rapid.Generator[*Config] {
	return rapid.Custom(func(t *rapid.T) *Config {
		c := &Config{}
		for i := range 5 {
			if rapid.Bool().Draw(t, "absent") {
				continue
			}
			w := &Workspace{Name: "w" + strconv.Itoa(i), Rate: float64(rapid.IntRange(0, 1).Draw(t, "rate"))}
			if rapid.Bool().Draw(t, "has priority") {
				priority := rapid.IntRange(0, 1).Draw(t, "priority")
				w.Priority = &priority
			}
			for _, key := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 4, rapid.ID[int]).Draw(t, "keys") {
				w.Keys = append(w.Keys, DigestKey(strconv.Itoa(key)))
			}
			c.Workspaces = append(c.Workspaces, w)
		}
		return c
	})
}

// TestWorkspaceDelta guards against a delta that does not result in the workspaces of the
// new version, that contains unchanged ones, and against a key index, updated from the
// previous version, that differs from a new one: a withdrawn key would stay valid.
func TestWorkspaceDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var byDelta, whole Current
		for version := uint64(1); version < 6; version++ {
			next := workspaceVersions().Draw(t, "next")
			next.Version = version
			sent := next
			if version > 1 {
				encoded, err := json.Marshal(next.Diff(byDelta.Load().Config))
				if err != nil {
					t.Fatal(err)
				}
				delta := &Delta{}
				if err := json.Unmarshal(encoded, delta); err != nil {
					t.Fatal(err)
				}
				requireChanged(t, byDelta.Load(), delta)
				sent, _ = byDelta.Load().Config.Apply(delta)
			}
			byDelta.Advance(sent)
			whole.Advance(&Config{Version: version, Workspaces: append([]*Workspace(nil), next.Workspaces...)})
			requireSame(t, byDelta.Load(), NewTable(next))
			requireSame(t, whole.Load(), NewTable(next))
		}
	})
}

func requireChanged(t *rapid.T, before *Table, delta *Delta) {
	for _, w := range delta.SetWorkspaces {
		if old := before.WorkspaceByName(w.Name); old != nil && w.equal(old) {
			t.Fatalf("the delta contains the unchanged workspace %s", w.Name)
		}
	}
}

func requireSame(t *rapid.T, got, want *Table) {
	if len(got.workspaces) != len(want.workspaces) {
		t.Fatalf("got %d workspaces, want %d", len(got.workspaces), len(want.workspaces))
	}
	for name, w := range want.workspaces {
		if other := got.WorkspaceByName(name); other == nil || !w.equal(other) {
			t.Fatalf("got workspace %+v, want %+v", other, w)
		}
	}
	for key := range 10 {
		digest := DigestKey(strconv.Itoa(key))
		a, b := got.Authenticate(digest), want.Authenticate(digest)
		if (a == nil) != (b == nil) || a != nil && a.Name != b.Name {
			t.Fatalf("key %d: got workspace %v, want %v", key, a, b)
		}
	}
}

// TestUnchangedWorkspacesAreShared guards against a key index that is built again, or a
// workspace that is kept once per version, although no key changed.
func TestUnchangedWorkspacesAreShared(t *testing.T) {
	version := func(v uint64, rate float64) *Config {
		return &Config{Version: v, Workspaces: []*Workspace{
			{Name: "a", Keys: []KeyDigest{DigestKey("1")}}, {Name: "b", Rate: rate, Keys: []KeyDigest{DigestKey("2")}},
		}}
	}
	var current Current
	current.Advance(version(1, 5))
	first := current.Load()
	current.Advance(version(2, 5))
	second := current.Load()
	assert.Assert(t, second.keys == first.keys && second.workspaces["b"] == first.workspaces["b"])
	current.Advance(version(3, 6))
	third := current.Load()
	assert.Assert(t, third.keys == first.keys, "a changed rate is no changed key")
	assert.Equal(t, third.Authenticate(DigestKey("2")).Rate, 6.0)
	assert.Equal(t, first.Authenticate(DigestKey("2")).Rate, 5.0)
}

// TestKeyOfSeveralWorkspaces guards against daemons that assign a key to different
// workspaces, depending on the order in which they received them.
func TestKeyOfSeveralWorkspaces(t *testing.T) {
	a, b := &Workspace{Name: "a", Keys: []KeyDigest{DigestKey("1")}}, &Workspace{Name: "b", Keys: []KeyDigest{DigestKey("1")}}
	for _, order := range [][]*Workspace{{a, b}, {b, a}} {
		assert.Equal(t, NewTable(&Config{Workspaces: order}).Authenticate(DigestKey("1")).Name, "a")
	}
}

// TestKeyDigestText guards against digests that are shown in logs, and against a digest
// decoded from a text of another length.
func TestKeyDigestText(t *testing.T) {
	digest := DigestKey("secret")
	assert.Equal(t, fmt.Sprintf("%v %s", digest, &digest), "key digest key digest")
	encoded, err := digest.MarshalText()
	assert.NilError(t, err)
	var decoded KeyDigest
	assert.NilError(t, decoded.UnmarshalText(encoded))
	assert.Equal(t, decoded, digest)
	for _, text := range []string{"", string(encoded[1:]), string(encoded) + "A", "!" + string(encoded[1:]), string(encoded) + string(encoded)} {
		assert.ErrorIs(t, decoded.UnmarshalText([]byte(text)), errKeyDigest)
	}
	var none *Table
	assert.Assert(t, none.Authenticate(digest) == nil && none.WorkspaceByName("a") == nil && !none.HasWorkspaces())
}

// TestExemptInDelta guards against a route that stays exempt, or not, at peers when that
// is all that changes.
func TestExemptInDelta(t *testing.T) {
	before := &Config{Version: 1, Routes: []*Route{{Name: "r"}}}
	after, ok := before.Apply((&Config{Version: 2, Routes: []*Route{{Name: "r", Exempt: true}}}).Diff(before))
	assert.Assert(t, ok && after.Routes[0].Exempt)
}
