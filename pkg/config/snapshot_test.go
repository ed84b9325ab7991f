package config

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

func testVersion(version uint64, services ...Service) (*Manifest, map[string][]byte) {
	m := &Manifest{Version: version, Entries: map[string]Entry{}}
	content := map[string][]byte{}
	for _, service := range services {
		b := Bundle{Service: service}
		data := b.Encode()
		m.Entries[service.Name] = Entry{Digest: Digest(data), Hosts: b.Hosts()}
		content[Digest(data)] = data
	}
	return m, content
}

func fullDelta(m *Manifest, content map[string][]byte) *pb.ConfigDelta {
	delta := m.Delta(nil)
	delta.Bundles = content
	return delta
}

// TestNextRefusesBadDeltas guards against a version that is applied only in part,
// with altered content, or after a newer version.
func TestNextRefusesBadDeltas(t *testing.T) {
	orders := Service{Name: "orders", Routes: []Route{{Name: "r", Host: "o.example", Path: "/"}}}
	m1, c1 := testVersion(1, orders)
	current, err := (*Snapshot)(nil).Next(fullDelta(m1, c1), []string{"orders"})
	assert.NilError(t, err)
	changed := orders
	changed.Slots = 7
	m2, c2 := testVersion(2, changed)
	dangling := orders
	dangling.DependsOn = []string{"stock"}
	m3, c3 := testVersion(3, dangling)

	corrupt := fullDelta(m2, map[string][]byte{m2.Entries["orders"].Digest: []byte("{}")})
	wrongDigest := fullDelta(m2, c2)
	wrongDigest.ManifestDigest = m1.Digest()
	wrongBase := m2.Delta(&Manifest{Version: 7})
	newer, err := current.Next(fullDelta(m2, c2), []string{"orders"})
	assert.NilError(t, err)

	var digest *DigestError
	var base *DeltaBaseError
	var missing *MissingBundleError
	var reference *MissingServiceError
	var old *OldVersionError
	cases := []struct {
		name  string
		from  *Snapshot
		delta *pb.ConfigDelta
		want  any
	}{
		{"altered bundle", current, corrupt, &digest},
		{"altered manifest", current, wrongDigest, &digest},
		{"wrong base version", current, wrongBase, &base},
		{"missing bundle", current, fullDelta(m2, nil), &missing},
		{"missing dependency", current, fullDelta(m3, c3), &reference},
		{"older version", newer, fullDelta(m1, c1), &old},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, err := c.from.Next(c.delta, []string{"orders"})
			assert.Assert(t, next == nil)
			assert.Assert(t, errors.As(err, c.want), "got %v", err)
		})
	}
}

// TestMatch guards against routing a call by a partial path segment, by a path
// prefix that is not the longest match, or by an incomplete set of bundles.
func TestMatch(t *testing.T) {
	orders := Service{Name: "orders", Routes: []Route{
		{Name: "all", Host: "o.example", Path: "/"},
		{Name: "place", Host: "o.example", Path: "/orders", Methods: []string{"POST"}},
	}}
	stock := Service{Name: "stock", Routes: []Route{{Name: "s", Host: "s.example", Path: "/stock", Methods: []string{"GET"}}}}
	m, content := testVersion(1, orders, stock)
	s, err := (*Snapshot)(nil).Next(fullDelta(m, content), []string{"orders"})
	assert.NilError(t, err)
	assert.Equal(t, s.Match("o.example", "/orders/7", "POST").Route.Name, "place")
	assert.Equal(t, s.Match("O.example", "/orders", "GET").Route.Name, "all")
	assert.Equal(t, s.Match("o.example", "/ordersheet", "POST").Route.Name, "all")
	assert.DeepEqual(t, s.Match("s.example", "/stock", "GET").Unsubscribed, []string{"stock"})
	s, err = s.Next(fullDelta(m, content), []string{"orders", "stock"})
	assert.NilError(t, err)
	assert.Equal(t, s.Match("s.example", "/stock", "GET").Route.Name, "s")
	assert.Assert(t, s.Match("s.example", "/stock", "POST").MethodMismatch)
	assert.Assert(t, s.Match("none.example", "/", "GET").Route == nil)
}
