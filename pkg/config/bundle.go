package config

import (
	"encoding/json"
	"slices"
)

// Bundle is one service as it is stored and distributed.
type Bundle struct {
	Service Service `json:"service"`
	// Generations maps the name of each move to the configuration version in which
	// its definition last changed.
	Generations map[string]uint64 `json:"generations,omitempty"`
}

// Encode returns the canonical encoding of the bundle, over which its digest is
// computed.
func (b *Bundle) Encode() []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic("config: encode bundle: " + err.Error()) // a validated service can always be encoded
	}
	return data
}

// DecodeBundle decodes a bundle and verifies it against its digest.
func DecodeBundle(data []byte, digest string) (*Bundle, error) {
	if got := Digest(data); got != digest {
		return nil, &DigestError{Kind: "bundle", Want: digest, Got: got}
	}
	var b Bundle
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, &BundleError{Digest: digest, Cause: err}
	}
	return &b, nil
}

// Hosts returns the sorted host names of the bundle's routes.
func (b *Bundle) Hosts() []string {
	var hosts []string
	for i := range b.Service.Routes {
		hosts = append(hosts, b.Service.Routes[i].Host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}
