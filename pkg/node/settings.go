// Package node runs one daemon of a deployment whose operator, store and targets
// are reached through an adapter. It wires the fleet, the proxy and the moves,
// and follows the operator's configuration.
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

// Milliseconds is a duration that settings state in milliseconds.
type Milliseconds float64

// Duration converts the setting.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Listen holds the addresses that the daemon serves.
type Listen struct {
	Callers       string `json:"callers"`       // requests of clients and of the own target
	Daemons       string `json:"daemons"`       // requests of other daemons for the own target
	Fleet         string `json:"fleet"`         // exchanges with other daemons
	Announcements string `json:"announcements"` // heartbeats of the own target
	Readiness     string `json:"readiness"`
	Metrics       string `json:"metrics"` // empty for none
}

// Advertise holds the addresses at which other daemons reach this one, where they
// are not those that it listens on.
type Advertise struct {
	Daemons string `json:"daemons,omitempty"`
	Fleet   string `json:"fleet,omitempty"` // TCP and UDP
}

// Retries bound the repeats of the whole fleet.
type Retries struct {
	Ratio  float64      `json:"ratio"` // of the requests of a service
	Slack  float64      `json:"slack"` // repeats besides
	Window Milliseconds `json:"windowMS"`
}

// Settings are the settings of a daemon on a platform.
type Settings struct {
	Name             string       `json:"name"`
	Domain           string       `json:"domain"` // failure domain
	Service          string       `json:"service"`
	TargetAddress    string       `json:"targetAddress"`
	Listen           Listen       `json:"listen"`
	Advertise        Advertise    `json:"advertise"`
	Store            string       `json:"store"`
	Heartbeat        Milliseconds `json:"heartbeatMS"`   // interval of the target's heartbeats
	DrainPeriod      Milliseconds `json:"drainPeriodMS"` // from an acknowledged leaving to the last request
	StopGrace        Milliseconds `json:"stopGraceMS"`   // from a stop signal to the kill
	Retries          Retries      `json:"retries"`
	MemoryLimitBytes int64        `json:"memoryLimitBytes"`
	GCPercent        int          `json:"gcPercent"` // heap growth between collections, 0 for the runtime's own
	LinkMbps         float64      `json:"linkMbps"`  // of the machine's own link, 0 if it is not known
	Cores            float64      `json:"cores"`     // share of a core that the daemon may use, 0 if it is not known
}

// SettingsError reports a settings file that cannot be used.
type SettingsError struct {
	File  string
	Cause error
}

func (e *SettingsError) Error() string { return fmt.Sprintf("node: settings %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Cause }

// LoadSettings reads and checks a settings file.
func LoadSettings(file string) (*Settings, error) {
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
	if err := s.check(); err != nil {
		return nil, &SettingsError{File: file, Cause: err}
	}
	return s, nil
}

func (s *Settings) check() error {
	var problems []error
	add := func(path string, value any, allowed string) {
		problems = append(problems, fmt.Errorf("$.%s is %q, allowed: %s", path, fmt.Sprint(value), allowed))
	}
	for path, value := range map[string]string{"name": s.Name, "domain": s.Domain, "service": s.Service} {
		if value == "" {
			add(path, value, "a name")
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
			add(path, value, "an IP address and a port")
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
		add("retries", s.Retries, "0 or more")
	}
	if s.GCPercent < 0 {
		add("gcPercent", s.GCPercent, "0 for the runtime's own, or a percentage")
	}
	if s.MemoryLimitBytes < 0 {
		add("memoryLimitBytes", s.MemoryLimitBytes, "0 for no limit, or a number of bytes")
	}
	return errors.Join(problems...)
}
