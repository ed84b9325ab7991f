package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Store keys. HeadKey shares the prefix EntryPrefix with the leases of the
// distributors, so that a joining daemon learns the head and its entry points
// with one list call.
const (
	EntryPrefix = "entry/"
	HeadKey     = "entry/head"
	BlobPrefix  = "config/blob/"
)

// TeamsEntry is the manifest entry of the teams. It is not a service name,
// since service names cannot contain '@'.
const TeamsEntry = "@teams"

// maxOperations is the number of recent operations kept in the head. An
// operator who lost the answer asks again well before so many others follow.
const maxOperations = 64

// Head is the only commit point of a configuration version.
type Head struct {
	Version    uint64      `json:"version"`
	Manifest   string      `json:"manifest"` // digest of the manifest blob
	AcceptedAt time.Time   `json:"acceptedAt"`
	Operations []Operation `json:"operations"` // most recent last
}

// Operation records which version an apply produced, so that an apply whose
// answer was lost can be recognized.
type Operation struct {
	ID      string `json:"id"`
	Author  string `json:"author"`
	Version uint64 `json:"version"`
	// Request is the digest of the files, which tells a repeat from another
	// request that uses the same ID by mistake.
	Request string `json:"request,omitempty"`
	// Touched names the manifest entries that the version changed. The single
	// element TouchedAll stands for more names than are kept.
	Touched []string `json:"touched,omitempty"`
}

// TouchedAll stands for every manifest entry.
const TouchedAll = "*"

// maxTouched bounds the names kept for one operation. The head goes to every
// daemon that joins, and most changes touch one service.
const maxTouched = 20

// SetTouched records the changed manifest entries.
func (o *Operation) SetTouched(names []string) {
	if len(names) > maxTouched {
		names = []string{TouchedAll}
	}
	o.Touched = names
}

// Find returns the operation with the given ID.
func (h *Head) Find(id string) (Operation, bool) {
	for _, op := range h.Operations {
		if op.ID == id {
			return op, true
		}
	}
	return Operation{}, false
}

// AddOperation appends an operation and drops the oldest beyond the limit.
func (h *Head) AddOperation(op Operation) {
	h.Operations = append(slices.Clone(h.Operations), op)
	if extra := len(h.Operations) - maxOperations; extra > 0 {
		h.Operations = h.Operations[extra:]
	}
}

// Entry is one service of a manifest.
type Entry struct {
	Digest string   `json:"digest"`
	Hosts  []string `json:"hosts,omitempty"`
}

// Manifest lists every service of one version with the digest of its bundle.
// It is immutable.
type Manifest struct {
	Version uint64           `json:"version"`
	Entries map[string]Entry `json:"entries"`
}

// Digest names content by its SHA-256 in hexadecimal.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Encode returns the manifest's canonical form, which its digest is taken of.
func (m *Manifest) Encode() []byte {
	data, err := json.Marshal(m) // map keys are written in sorted order
	if err != nil {
		panic("config: manifest cannot be encoded: " + err.Error()) // only strings and integers
	}
	return data
}

// Digest returns the digest of the manifest.
func (m *Manifest) Digest() string { return Digest(m.Encode()) }

// Apply returns the manifest that a delta leads to. The result is verified by
// the delta's digest.
func (m *Manifest) Apply(delta *pb.ConfigDelta) (*Manifest, error) {
	next := &Manifest{Version: delta.GetVersion(), Entries: map[string]Entry{}}
	if delta.GetBaseVersion() != 0 {
		if m == nil || m.Version != delta.GetBaseVersion() {
			return nil, &DeltaBaseError{Base: delta.GetBaseVersion(), Held: m.version()}
		}
		maps.Copy(next.Entries, m.Entries)
	}
	for _, name := range delta.GetRemoved() {
		delete(next.Entries, name)
	}
	for _, e := range delta.GetChanged() {
		next.Entries[e.GetService()] = Entry{Digest: e.GetDigest(), Hosts: e.GetHosts()}
	}
	if got := next.Digest(); got != delta.GetManifestDigest() {
		return nil, &DigestError{What: "manifest", Want: delta.GetManifestDigest(), Got: got}
	}
	return next, nil
}

// Delta returns the entries that lead from base to m, without bundles. A nil
// base gives the full manifest.
func (m *Manifest) Delta(base *Manifest) *pb.ConfigDelta {
	delta := &pb.ConfigDelta{BaseVersion: base.version(), Version: m.Version, ManifestDigest: m.Digest()}
	var old map[string]Entry
	if base != nil {
		old = base.Entries
	}
	for _, name := range slices.Sorted(maps.Keys(m.Entries)) {
		entry := m.Entries[name]
		if before, ok := old[name]; !ok || before.Digest != entry.Digest || !slices.Equal(before.Hosts, entry.Hosts) {
			delta.Changed = append(delta.Changed, &pb.ManifestEntry{Service: name, Digest: entry.Digest, Hosts: entry.Hosts})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, ok := m.Entries[name]; !ok {
			delta.Removed = append(delta.Removed, name)
		}
	}
	return delta
}

func (m *Manifest) version() uint64 {
	if m == nil {
		return 0
	}
	return m.Version
}
