package routing

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// KeyDigest identifies a key of a workspace: the first half of its SHA-256 hash. Keys
// themselves are never kept. The zero value stands for no key.
type KeyDigest [sha256.Size / 2]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// IsZero reports whether the digest stands for no key.
func (d KeyDigest) IsZero() bool { return d == KeyDigest{} }

// String returns the same text for every digest, so that none gets into a log.
func (d KeyDigest) String() string { return "key digest" }

// MarshalText implements encoding.TextMarshaler, for exchanges between daemons.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, d[:]), nil
}

var errKeyDigest = errors.New("routing: key digest is not 16 bytes in base64")

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	var decoded [len(d) + 2]byte // room for the rest of a longer text
	if len(text) != base64.RawStdEncoding.EncodedLen(len(d)) {
		return errKeyDigest
	}
	n, err := base64.RawStdEncoding.Decode(decoded[:], text)
	if err != nil || n != len(d) {
		return errKeyDigest
	}
	*d = KeyDigest(decoded[:n])
	return nil
}

// Workspace is a group of clients that share limits. A request belongs to the workspace
// whose key it carries.
type Workspace struct {
	Name     string      `json:"name"`
	Keys     []KeyDigest `json:"keys,omitempty"`
	Rate     float64     `json:"rate,omitempty"`     // requests per second, 0 means no limit
	Burst    float64     `json:"burst,omitempty"`    // requests above the rate
	Priority *int        `json:"priority,omitempty"` // replaces that of the route, nil to keep that
}

func (w *Workspace) name() string { return w.Name }

func (w *Workspace) equal(o *Workspace) bool {
	if w == o {
		return true
	}
	samePriority := w.Priority == o.Priority || w.Priority != nil && o.Priority != nil && *w.Priority == *o.Priority
	return w.Name == o.Name && w.Rate == o.Rate && w.Burst == o.Burst && samePriority && slices.Equal(w.Keys, o.Keys)
}

// Hash returns a hash of the whole workspace.
func (w *Workspace) Hash() string {
	h := sha256.New()
	priority := "route"
	if w.Priority != nil {
		priority = strconv.Itoa(*w.Priority)
	}
	_, _ = fmt.Fprintf(h, "%q %v %v %s\n", w.Name, w.Rate, w.Burst, priority) // a hash does not fail
	for i := range w.Keys {
		_, _ = h.Write(w.Keys[i][:])
	}
	return hex.EncodeToString(h.Sum(nil)[:sha256.Size/2])
}

// CountChanges returns the numbers of workspaces that are new or changed, and of those
// that were removed.
func CountChanges(old, next []*Workspace) (changed, removed int) {
	set, names := diffResources(old, next)
	return len(set), len(names)
}
