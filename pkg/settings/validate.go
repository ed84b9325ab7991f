package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	maxBodyLimit   = 64 << 20
	minSizeLimit   = 1 << 10
	maxHeaderLimit = 1 << 20
	sha256Bytes    = 32
)

const nameRule = "lower-case letters, digits and '-', 1 to 63 characters, starting with a letter"

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// validator collects the problems of one settings file.
type validator struct{ problems []Problem }

func (v *validator) add(path string, value any, allowed string) {
	v.problems = append(v.problems, Problem{Path: path, Value: fmt.Sprintf("%q", fmt.Sprint(value)), Allowed: allowed})
}

func (v *validator) name(path, value string) {
	if !namePattern.MatchString(value) {
		v.add(path, value, nameRule)
	}
}

func (v *validator) address(path, value string) {
	if address, err := netip.ParseAddrPort(value); err != nil || address.Port() == 0 {
		v.add(path, value, "an IP address and a port from 1 to 65535, such as 10.0.0.5:7000")
	}
}

func (v *validator) inRange(path string, value, low, high int64) {
	if value < low || value > high {
		v.add(path, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) duration(path string, value Duration, low, high time.Duration) {
	if d := time.Duration(value); d < low || d > high {
		v.add(path, d, fmt.Sprintf("%s to %s", low, high))
	}
}

// validate returns every problem of the settings.
func (s *Settings) validate() []Problem {
	var v validator
	v.name("$.name", s.Name)
	v.name("$.domain", s.Domain)
	v.address("$.listen.calls", s.Listen.Calls)
	v.address("$.listen.local", s.Listen.Local)
	v.address("$.listen.announce", s.Listen.Announce)
	v.address("$.listen.metrics", s.Listen.Metrics)
	v.address("$.listen.daemons", s.Listen.Daemons)
	v.address("$.listen.admin", s.Listen.Admin)
	v.address("$.advertise", s.Advertise)
	v.address("$.store.address", s.Store.Address)
	v.duration("$.store.timeout", s.Store.Timeout, 100*time.Millisecond, time.Minute)
	v.duration("$.drainTimeout", s.DrainTimeout, 0, 10*time.Minute)
	v.inRange("$.admin.maxBodyBytes", int64(s.Admin.MaxBodyBytes), minSizeLimit, maxBodyLimit)
	v.inRange("$.calls.maxBodyBytes", int64(s.Calls.MaxBodyBytes), 0, maxBodyLimit)
	v.inRange("$.calls.maxHeaderBytes", int64(s.Calls.MaxHeaderBytes), minSizeLimit, maxHeaderLimit)
	if s.MemoryLimitBytes < 0 {
		v.add("$.memoryLimitBytes", s.MemoryLimitBytes, "0 for no limit, or a positive number of bytes")
	}
	if _, err := zapcore.ParseLevel(s.Log.Level); err != nil {
		v.add("$.log.level", s.Log.Level, "debug, info, warn or error")
	}
	v.tokens(s.Admin.Tokens)
	v.tls("$.admin.tls", s.Admin.TLS)
	return v.problems
}

func (v *validator) tokens(tokens []Token) {
	if len(tokens) == 0 {
		v.add("$.admin.tokens", "", "at least one token")
	}
	seen := map[string]bool{}
	for i, token := range tokens {
		path := "$.admin.tokens[" + strconv.Itoa(i) + "]"
		v.name(path+".name", token.Name)
		if seen[token.Name] {
			v.add(path+".name", token.Name, "a name that is unique among the tokens")
		}
		seen[token.Name] = true
		if sum, err := hex.DecodeString(token.SHA256); err != nil || len(sum) != sha256Bytes {
			v.add(path+".sha256", token.SHA256, "the SHA-256 of the token, 64 hexadecimal digits")
		}
	}
}

func (v *validator) tls(path string, t *TLS) {
	if t == nil {
		return
	}
	for name, file := range map[string]string{".certificateFile": t.CertificateFile, ".keyFile": t.KeyFile} {
		if _, err := os.Stat(file); err != nil {
			v.add(path+name, file, "a readable file in PEM form")
		}
	}
}
