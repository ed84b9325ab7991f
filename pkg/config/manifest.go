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

// Store keys. HeadKey shares EntryPrefix with the leases of the distributors, so
// that a joining daemon reads the head and the addresses of the distributors with
// one list call.
const (
	EntryPrefix = "entry/"
	HeadKey     = "entry/head"
	BlobPrefix  = "config/blob/"
)

// TeamsEntry is the name of the manifest entry of the teams. It cannot collide
// with a service, since service names cannot contain '@'.
const TeamsEntry = "@teams"

// maxOperations is the maximum number of operations in the head. An operator whose
// response was lost repeats the request well before that many operations follow.
const maxOperations = 64

// Head is the store object that refers to the current configuration version. Its
// conditional update is the only commit point of a version.
type Head struct {
	Version    uint64      `json:"version"`
	Manifest   string      `json:"manifest"` // digest of the manifest blob
	AcceptedAt time.Time   `json:"acceptedAt"`
	Operations []Operation `json:"operations"` // most recent last
}

// Operation records the version that an apply produced, so that a repeated apply
// whose response was lost is recognized.
type Operation struct {
	ID      string `json:"id"`
	Author  string `json:"author"`
	Version uint64 `json:"version"`
	// Request is the digest of the files. It distinguishes a repeat from a
	// different request that reuses the ID by mistake.
	Request string `json:"request,omitempty"`
	// Touched names the manifest entries that the version changed. The single
	// element TouchedAll replaces more than maxTouchedNames names.
	Touched []string `json:"touched,omitempty"`
}

// TouchedAll represents all manifest entries in Operation.Touched.
const TouchedAll = "*"

// maxTouchedNames is the maximum number of names recorded for one operation. Every
// daemon that joins receives the head, and most changes affect one service.
const maxTouchedNames = 20

// SetTouched records the changed manifest entries, or TouchedAll if there are too
// many.
func (o *Operation) SetTouched(names []string) {
	if len(names) > maxTouchedNames {
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

// AddOperation appends an operation and removes the oldest ones beyond
// maxOperations.
func (h *Head) AddOperation(op Operation) {
	h.Operations = append(slices.Clone(h.Operations), op)
	if extra := len(h.Operations) - maxOperations; extra > 0 {
		h.Operations = h.Operations[extra:]
	}
}

// Entry is a service or the teams in a manifest.
type Entry struct {
	Digest string   `json:"digest"`
	Hosts  []string `json:"hosts,omitempty"`
}

// Manifest lists the teams and all services of one version with the digests of
// their content. It is immutable.
type Manifest struct {
	Version uint64           `json:"version"`
	Entries map[string]Entry `json:"entries"`
}

// Digest returns the hexadecimal SHA-256 of content, which identifies a blob.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Encode returns the canonical encoding of the manifest, over which its digest is
// computed.
func (m *Manifest) Encode() []byte {
	data, err := json.Marshal(m) // map keys are written in sorted order
	if err != nil {
		panic("config: encode manifest: " + err.Error()) // a manifest contains only strings and integers
	}
	return data
}

// Digest returns the digest of the encoded manifest.
func (m *Manifest) Digest() string { return Digest(m.Encode()) }

// Apply returns the manifest that results from a delta. It verifies the result
// against the manifest digest of the delta.
func (m *Manifest) Apply(delta *pb.ConfigDelta) (*Manifest, error) {
	next := &Manifest{Version: delta.GetVersion(), Entries: map[string]Entry{}}
	if delta.GetBaseVersion() != 0 {
		if m == nil || m.Version != delta.GetBaseVersion() {
			return nil, &DeltaBaseError{Base: delta.GetBaseVersion(), Current: m.version()}
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
		return nil, &DigestError{Kind: "manifest", Want: delta.GetManifestDigest(), Got: got}
	}
	return next, nil
}

// Delta returns the difference from base to m, without bundles. A nil base yields
// the full manifest.
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
