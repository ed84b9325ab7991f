// Package node runs a daemon of a deployment. It connects the fleet, the proxy and
// the moves, tracks the local target, and watches the operator's configuration and
// orders. The operator, the store and the targets are reached through the adapters of
// Platform.
package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"
)

// bytesPerMB is the number of bytes in a megabyte.
const bytesPerMB = 1e6

// Milliseconds is a duration in milliseconds, as written in settings.
type Milliseconds float64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Listen holds the addresses that the daemon listens on.
type Listen struct {
	Callers       string `json:"callers"`       // requests of clients and of the local target
	Daemons       string `json:"daemons"`       // requests of peers for the local target
	Fleet         string `json:"fleet"`         // exchanges with peers
	Announcements string `json:"announcements"` // heartbeats of the local target
	Readiness     string `json:"readiness"`
	Metrics       string `json:"metrics"` // empty to serve no metrics
}

// Advertise holds the addresses at which peers reach the daemon, where they differ
// from those that it listens on.
type Advertise struct {
	Daemons string `json:"daemons,omitempty"`
	Fleet   string `json:"fleet,omitempty"` // TCP and UDP
}

// Retries bound the retries of the whole fleet, by service.
type Retries struct {
	Ratio  float64      `json:"ratio"` // retries per request of a service
	Slack  float64      `json:"slack"` // retries on top of the ratio, in each window
	Window Milliseconds `json:"windowMS"`
}

// Settings are the contents of the settings file of a daemon.
type Settings struct {
	Name          string       `json:"name"`
	Domain        string       `json:"domain"` // failure domain
	Service       string       `json:"service"`
	TargetAddress string       `json:"targetAddress"`
	Listen        Listen       `json:"listen"`
	Advertise     Advertise    `json:"advertise"`
	Store         string       `json:"store"`
	FirstStart    bool         `json:"firstStart"`    // all daemons of the deployment start for the first time
	Heartbeat     Milliseconds `json:"heartbeatMS"`   // interval of the target's heartbeats
	DrainPeriod   Milliseconds `json:"drainPeriodMS"` // from the acknowledged departure of the target to its last request
	StopGrace     Milliseconds `json:"stopGraceMS"`   // from the stop signal to the kill
	// Evacuation is the time within which the evacuation of a failure domain takes
	// effect. Without it, the daemon watches no evacuations.
	Evacuation       Milliseconds `json:"evacuationMS,omitempty"`
	Retries          Retries      `json:"retries"`
	MemoryLimitBytes int64        `json:"memoryLimitBytes"`
	MemoryLimitMB    float64      `json:"memoryLimitMB,omitempty"` // in 10^6 bytes, in place of MemoryLimitBytes
	GCPercent        int          `json:"gcPercent"`               // heap growth between collections in percent (GOGC), 0 for the default of the Go runtime
	LinkMbps         float64      `json:"linkMbps"`                // link of the machine, 0 if unknown
	Cores            float64      `json:"cores"`                   // CPU limit of the daemon in cores, 0 if unknown
	// Bounds has the bounds of the deployment in the words of its platform, which the
	// adapter of the platform applies to the other fields.
	Bounds json.RawMessage `json:"bounds,omitempty"`
	// WorkspaceLimits is nil where the limits of workspaces are not held.
	WorkspaceLimits *WorkspaceLimits `json:"workspaceLimits,omitempty"`
	Limits          Limits           `json:"limits,omitzero"`
}

// SettingsError reports a settings file that cannot be used.
type SettingsError struct {
	File  string
	Cause error
}

func (e *SettingsError) Error() string { return fmt.Sprintf("node: settings %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Cause }

// LoadSettings reads and checks a settings file. applyBounds, if not nil, is called before
// the check; see Platform.
func LoadSettings(file string, applyBounds func(*Settings) error) (*Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &SettingsError{File: file, Cause: err}
	}
	s := &Settings{}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, &SettingsError{File: file, Cause: err}
	}
	if s.MemoryLimitBytes == 0 {
		s.MemoryLimitBytes = int64(s.MemoryLimitMB * bytesPerMB)
	}
	if applyBounds != nil {
		if err := applyBounds(s); err != nil {
			return nil, &SettingsError{File: file, Cause: err}
		}
	}
	if err := s.Check(); err != nil {
		return nil, &SettingsError{File: file, Cause: err}
	}
	return s, nil
}

// Check returns an error that names every value that is not allowed.
func (s *Settings) Check() error {
	var problems []error
	add := func(path string, value any, allowed string) {
		problems = append(problems, fmt.Errorf("$.%s is %q, allowed: %s", path, fmt.Sprint(value), allowed))
	}
	for path, value := range map[string]string{"name": s.Name, "domain": s.Domain, "service": s.Service} {
		if value == "" {
			add(path, value, "a non-empty name")
		}
	}
	addresses := map[string]string{
		"targetAddress": s.TargetAddress, "store": s.Store, "listen.callers": s.Listen.Callers,
		"listen.daemons": s.Listen.Daemons, "listen.fleet": s.Listen.Fleet,
		"listen.announcements": s.Listen.Announcements, "listen.readiness": s.Listen.Readiness,
	}
	for path, value := range map[string]string{
		"listen.metrics": s.Listen.Metrics, "advertise.daemons": s.Advertise.Daemons, "advertise.fleet": s.Advertise.Fleet,
	} {
		if value != "" {
			addresses[path] = value
		}
	}
	for path, value := range addresses {
		if address, err := netip.ParseAddrPort(value); err != nil || address.Port() == 0 {
			add(path, value, "an IP address and a port from 1 to 65535, such as 10.0.0.5:7000")
		}
	}
	for path, value := range map[string]float64{
		"heartbeatMS": float64(s.Heartbeat), "drainPeriodMS": float64(s.DrainPeriod),
		"stopGraceMS": float64(s.StopGrace), "retries.windowMS": float64(s.Retries.Window),
	} {
		if value <= 0 {
			add(path, value, "more than 0")
		}
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 {
		add("retries", s.Retries, "a ratio and a slack of 0 or more")
	}
	if s.Evacuation < 0 {
		add("evacuationMS", s.Evacuation, "0 to watch no evacuations, or the time in which they take effect")
	}
	if s.GCPercent < 0 {
		add("gcPercent", s.GCPercent, "0 for the default of the Go runtime, or a positive percentage")
	}
	if s.MemoryLimitBytes < 0 {
		add("memoryLimitBytes", s.MemoryLimitBytes, "0 for no limit, or a positive number of bytes")
	}
	if s.MemoryLimitMB < 0 {
		add("memoryLimitMB", s.MemoryLimitMB, "0 for no limit, or a positive number of megabytes")
	}
	s.WorkspaceLimits.check(add)
	s.Limits.check(add)
	return errors.Join(problems...)
}
