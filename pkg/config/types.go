// Package config defines the mesh configuration: it decodes and validates
// operator files, merges them into the next configuration version, and provides
// the manifests, bundles and immutable snapshots that daemons route calls with.
package config

import (
	"encoding/json"
	"time"
)

// File is the merged content of one or more operator files.
type File struct {
	Teams           []Team    `json:"teams,omitempty"`
	Services        []Service `json:"services,omitempty"`
	RemovedServices []string  `json:"removedServices,omitempty"`
}

// Team owns services.
type Team struct {
	Name    string `json:"name"`
	Contact string `json:"contact,omitempty"`
}

// Duration is a time.Duration written as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON decodes a duration string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}
