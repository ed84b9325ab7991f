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
	maxBodyLimit  = 64 << 20
	minHeaderSize = 1 << 10
	maxHeaderSize = 1 << 20
	sha256Bytes   = 32
)

const nameRule = "lower-case letters, digits and '-', 1 to 63 characters, starting with a letter"

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// checker collects the problems of one settings file.
type checker struct{ problems []Problem }

func (c *checker) add(path string, value any, allowed string) {
	c.problems = append(c.problems, Problem{Path: path, Value: fmt.Sprintf("%q", fmt.Sprint(value)), Allowed: allowed})
}

func (c *checker) name(path, value string) {
	if !namePattern.MatchString(value) {
		c.add(path, value, nameRule)
	}
}

func (c *checker) address(path, value string) {
	if address, err := netip.ParseAddrPort(value); err != nil || address.Port() == 0 {
		c.add(path, value, "an IP address and a port from 1 to 65535, such as 10.0.0.5:7000")
	}
}

func (c *checker) between(path string, value, low, high int64) {
	if value < low || value > high {
		c.add(path, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) duration(path string, value Duration, low, high time.Duration) {
	if d := time.Duration(value); d < low || d > high {
		c.add(path, d, fmt.Sprintf("%s to %s", low, high))
	}
}

func (s *Settings) check() []Problem {
	var c checker
	c.name("$.name", s.Name)
	c.name("$.domain", s.Domain)
	c.address("$.listen.calls", s.Listen.Calls)
	c.address("$.listen.local", s.Listen.Local)
	c.address("$.listen.announce", s.Listen.Announce)
	c.address("$.listen.metrics", s.Listen.Metrics)
	c.address("$.listen.daemons", s.Listen.Daemons)
	c.address("$.listen.admin", s.Listen.Admin)
	c.address("$.advertise", s.Advertise)
	c.address("$.store.address", s.Store.Address)
	c.duration("$.store.timeout", s.Store.Timeout, 100*time.Millisecond, time.Minute)
	c.duration("$.drainTimeout", s.DrainTimeout, 0, 10*time.Minute)
	c.between("$.admin.maxBodyBytes", int64(s.Admin.MaxBodyBytes), minHeaderSize, maxBodyLimit)
	c.between("$.calls.maxBodyBytes", int64(s.Calls.MaxBodyBytes), 0, maxBodyLimit)
	c.between("$.calls.maxHeaderBytes", int64(s.Calls.MaxHeaderBytes), minHeaderSize, maxHeaderSize)
	if s.MemoryLimitBytes < 0 {
		c.add("$.memoryLimitBytes", s.MemoryLimitBytes, "0 for no limit, or a positive number of bytes")
	}
	if _, err := zapcore.ParseLevel(s.Log.Level); err != nil {
		c.add("$.log.level", s.Log.Level, "debug, info, warn or error")
	}
	c.tokens(s.Admin.Tokens)
	c.tls("$.admin.tls", s.Admin.TLS)
	return c.problems
}

func (c *checker) tokens(tokens []Token) {
	if len(tokens) == 0 {
		c.add("$.admin.tokens", "", "at least one token")
	}
	seen := map[string]bool{}
	for i, token := range tokens {
		path := "$.admin.tokens[" + strconv.Itoa(i) + "]"
		c.name(path+".name", token.Name)
		if seen[token.Name] {
			c.add(path+".name", token.Name, "a name that no other token has")
		}
		seen[token.Name] = true
		if sum, err := hex.DecodeString(token.SHA256); err != nil || len(sum) != sha256Bytes {
			c.add(path+".sha256", token.SHA256, "the SHA-256 of the token, 64 hexadecimal digits")
		}
	}
}

func (c *checker) tls(path string, t *TLS) {
	if t == nil {
		return
	}
	for name, file := range map[string]string{".certificateFile": t.CertificateFile, ".keyFile": t.KeyFile} {
		if _, err := os.Stat(file); err != nil {
			c.add(path+name, file, "a readable file in PEM form")
		}
	}
}
