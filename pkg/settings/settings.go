// Package settings loads the settings file of a daemon. The file is JSON and is
// validated completely before the daemon starts, so that all problems are
// reported at once.
package settings

import (
	"time"

	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/config"
)

// Settings is the content of the settings file.
type Settings struct {
	// Name identifies the daemon and its VM. It must be unique in the mesh.
	Name string `json:"name"`
	// Domain is the failure domain of the VM.
	Domain string `json:"domain"`
	Listen Listen `json:"listen"`
	// Advertise is the address at which peer daemons reach this daemon.
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

// Listen holds the listen addresses, each an IP address and a port.
type Listen struct {
	Calls    string `json:"calls"`    // external calls
	Local    string `json:"local"`    // calls that the local target makes
	Announce string `json:"announce"` // announcements of the local target
	Daemons  string `json:"daemons"`  // peer daemons
	Admin    string `json:"admin"`    // the administration API
	Metrics  string `json:"metrics"`  // metrics in the Prometheus text format
}

// Store configures access to the platform's object API.
type Store struct {
	Address string   `json:"address"`
	Timeout Duration `json:"timeout"`
}

// Admin configures the administration API.
type Admin struct {
	Tokens       []Token `json:"tokens"`
	MaxBodyBytes int     `json:"maxBodyBytes"`
	// TLS enables HTTPS; without TLS settings the administration API uses plain
	// HTTP.
	TLS *TLS `json:"tls,omitempty"`
}

// TLS names the PEM files of the server certificate and its key.
type TLS struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
}

// Token is one credential. The settings hold only the hash of the secret.
type Token struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
	// Teams limits changes to these teams and their services; an empty list allows
	// all teams.
	Teams []string `json:"teams,omitempty"`
	// ReadOnly forbids changes.
	ReadOnly bool `json:"readOnly,omitempty"`
}

// Calls holds the size limits of calls.
type Calls struct {
	MaxBodyBytes   int `json:"maxBodyBytes"`
	MaxHeaderBytes int `json:"maxHeaderBytes"`
}

// Log configures logging.
type Log struct {
	Level string `json:"level"`
	// Decisions enables the log events of the call path, such as the routing decision
	// of each call and its outcome at the target.
	Decisions bool `json:"decisions"`
}

// ZapLevel returns the log level. Parse rejects invalid levels, so the fallback is
// used only for settings that were not parsed.
func (l Log) ZapLevel() zapcore.Level {
	level, err := zapcore.ParseLevel(l.Level)
	if err != nil {
		return zapcore.InfoLevel
	}
	return level
}

// Duration is encoded as a string such as "5s".
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

// defaults returns the values of settings that the file omits.
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
