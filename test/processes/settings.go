package processes

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"nutmegstand.example/nutmegstand/pkg/settings"
)

const (
	drainTimeout = 10 * time.Second
	storeTimeout = time.Second
	maxBodyBytes = 1 << 20
	memoryLimit  = 96 << 20
)

// WriteSettings writes the settings file of a daemon and returns its path. The token
// grants full administrator access.
func WriteSettings(dir, name, domain, token, store string, listen settings.Listen) (string, error) {
	sum := sha256.Sum256([]byte(token))
	s := settings.Settings{
		Name: name, Domain: domain, Advertise: listen.Daemons, Listen: listen,
		Store:        settings.Store{Address: store, Timeout: settings.Duration(storeTimeout)},
		Admin:        settings.Admin{Tokens: []settings.Token{{Name: "test", SHA256: hex.EncodeToString(sum[:])}}, MaxBodyBytes: 4 << 20},
		Calls:        settings.Calls{MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: 16 << 10},
		Log:          settings.Log{Level: "info", Decisions: true},
		DrainTimeout: settings.Duration(drainTimeout), MemoryLimitBytes: memoryLimit,
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, name+".json")
	return file, os.WriteFile(file, data, 0o600)
}
