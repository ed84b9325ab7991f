// Package settings reads the settings of a daemon: one JSON file, checked as a
// whole before the daemon starts.
package settings

import (
	"time"

	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/config"
)

// Settings is the content of the settings file.
type Settings struct {
	// Name identifies the daemon and its VM; unique in the mesh.
	Name string `json:"name"`
	// Domain is the failure domain of the VM.
	Domain string `json:"domain"`
	Listen Listen `json:"listen"`
	// Advertise is the address at which other daemons reach this one.
	Advertise string `json:"advertise"`
	Store     Store  `json:"store"`
	Admin     Admin  `json:"admin"`
	Calls     Calls  `json:"calls"`
	Log       Log    `json:"log"`
	// DrainTimeout bounds the graceful shutdown.
	DrainTimeout Duration `json:"drainTimeout"`
	// MemoryLimitBytes is the soft memory limit of the process, 0 for none.
	MemoryLimitBytes int64 `json:"memoryLimitBytes"`
}

// Listen holds the listening addresses, each an IP address and a port.
type Listen struct {
	Calls    string `json:"calls"`    // calls from outside
	Local    string `json:"local"`    // calls that the own target makes
	Announce string `json:"announce"` // announcements of the own target
	Daemons  string `json:"daemons"`  // other daemons
	Admin    string `json:"admin"`    // the administration API
	Metrics  string `json:"metrics"`  // metrics in the Prometheus text format
}

// Store says how to reach the platform's object API.
type Store struct {
	Address string   `json:"address"`
	Timeout Duration `json:"timeout"`
}

// Admin holds the credentials of the administration API.
type Admin struct {
	Tokens       []Token `json:"tokens"`
	MaxBodyBytes int     `json:"maxBodyBytes"`
	// TLS is optional; without it the administration API is plain HTTP.
	TLS *TLS `json:"tls,omitempty"`
}

// TLS names files in PEM form.
type TLS struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
}

// Token is one credential. Only the hash of the secret is kept.
type Token struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
	// Teams limits the token to changes of these teams' services; none means all.
	Teams []string `json:"teams,omitempty"`
	// ReadOnly refuses changes.
	ReadOnly bool `json:"readOnly,omitempty"`
}

// Calls bounds the calls that the daemon carries.
type Calls struct {
	MaxBodyBytes   int `json:"maxBodyBytes"`
	MaxHeaderBytes int `json:"maxHeaderBytes"`
}

// Log selects what is logged.
type Log struct {
	Level string `json:"level"`
	// Decisions switches the line for each routing and placement decision.
	Decisions bool `json:"decisions"`
}

// ZapLevel returns the level; Check has made sure that it is valid.
func (l Log) ZapLevel() zapcore.Level {
	level, err := zapcore.ParseLevel(l.Level)
	if err != nil {
		return zapcore.InfoLevel
	}
	return level
}

// Duration is written as a string such as "5s".
type Duration = config.Duration

// Default values of optional settings.
const (
	defaultStoreTimeout     = 2 * time.Second
	defaultAdminBodyBytes   = 4 << 20
	defaultCallBodyBytes    = 4 << 20
	defaultCallHeaderBytes  = 16 << 10
	defaultDrainTimeout     = 15 * time.Second
	defaultMemoryLimitBytes = 96 << 20
)

// defaults returns the settings that hold where the file is silent.
func defaults() Settings {
	return Settings{
		Store:            Store{Timeout: Duration(defaultStoreTimeout)},
		Admin:            Admin{MaxBodyBytes: defaultAdminBodyBytes},
		Calls:            Calls{MaxBodyBytes: defaultCallBodyBytes, MaxHeaderBytes: defaultCallHeaderBytes},
		Log:              Log{Level: "info", Decisions: true},
		DrainTimeout:     Duration(defaultDrainTimeout),
		MemoryLimitBytes: defaultMemoryLimitBytes,
	}
}
