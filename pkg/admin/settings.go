package admin

import (
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
)

const (
	// defaultMaxBodyBytes leaves room for the largest operator file, whose size
	// JSON escapes can double, and for the same amount in other files.
	defaultMaxBodyBytes = 4 << 20
	// Default request rate of one token. All operators together make 0.12
	// changes per second, and a nutmegctl command sends one request, even with -wait.
	defaultRequestsPerSecond = 20
	defaultBurst             = 40
)

// Settings of the administration API.
type Settings struct {
	Address string  `json:"address"`
	Tokens  []Token `json:"tokens"`
	// MaxBodyBytes bounds the request body; 0 means 4 MB.
	MaxBodyBytes int `json:"maxBodyBytes,omitempty"`
	// RequestsPerSecond and Burst are the rate limit of each token; 0 means 20
	// and 40. All requests without a valid token share one such limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	Burst             int     `json:"burst,omitempty"`
	// TLS enables HTTPS; without TLS settings the API uses plain HTTP.
	TLS *TLSSettings `json:"tls,omitempty"`
}

// Token grants access to the API. The settings hold only the token's digest.
type Token struct {
	Name string `json:"name"`
	// SHA256 is the digest of the token in hexadecimal.
	SHA256 string `json:"sha256"`
	// Teams limits changes to these teams and their services; an empty list
	// allows all teams.
	Teams []string `json:"teams,omitempty"`
	// ReadOnly forbids apply.
	ReadOnly bool `json:"readOnly,omitempty"`
}

// TLSSettings names the PEM files of the server certificate and its key.
type TLSSettings struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
}

// SettingsError reports an invalid setting.
type SettingsError struct{ Field, Message string }

func (e *SettingsError) Error() string {
	return fmt.Sprintf("admin: settings: %s: %s", e.Field, e.Message)
}

// TLSError reports that the TLS certificate or its key cannot be loaded.
type TLSError struct{ Cause error }

func (e *TLSError) Error() string { return "admin: certificate: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TLSError) Unwrap() error { return e.Cause }

var tokenName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$`)

// Validate returns an error for the first invalid setting.
func (s *Settings) Validate() error {
	if s.MaxBodyBytes < 0 || s.RequestsPerSecond < 0 || s.Burst < 0 {
		return &SettingsError{Field: "maxBodyBytes, requestsPerSecond, burst", Message: "must not be negative"}
	}
	names, digests := map[string]bool{}, map[string]bool{}
	for i, token := range s.Tokens {
		field := fmt.Sprintf("tokens[%d]", i)
		digest, err := hex.DecodeString(token.SHA256)
		switch {
		case !tokenName.MatchString(token.Name):
			return &SettingsError{Field: field + ".name", Message: "must be 1 to 64 letters, digits, '.', '_', '@' or '-'"}
		case names[token.Name]:
			return &SettingsError{Field: field + ".name", Message: "duplicates an earlier token"}
		case err != nil || len(digest) != digestBytes:
			return &SettingsError{Field: field + ".sha256", Message: "must be 64 hexadecimal digits"}
		case digests[strings.ToLower(token.SHA256)]:
			return &SettingsError{Field: field + ".sha256", Message: "duplicates an earlier token"}
		}
		names[token.Name], digests[strings.ToLower(token.SHA256)] = true, true
	}
	if s.TLS != nil && (s.TLS.CertificateFile == "" || s.TLS.KeyFile == "") {
		return &SettingsError{Field: "tls", Message: "requires certificateFile and keyFile"}
	}
	return nil
}

func (s *Settings) withDefaults() Settings {
	result := *s
	if result.MaxBodyBytes == 0 {
		result.MaxBodyBytes = defaultMaxBodyBytes
	}
	if result.RequestsPerSecond == 0 {
		result.RequestsPerSecond = defaultRequestsPerSecond
	}
	if result.Burst == 0 {
		result.Burst = defaultBurst
	}
	return result
}

// tlsConfig loads the certificate. It returns nil if TLS is not configured.
func (s *Settings) tlsConfig() (*tls.Config, error) {
	if s.TLS == nil {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.TLS.CertificateFile, s.TLS.KeyFile)
	if err != nil {
		return nil, &TLSError{Cause: err}
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}}, nil
}
