package ctl

import (
	"flag"
	"os"
	"strings"
	"time"
)

const (
	outputText = "text"
	outputJSON = "json"
	// defaultTimeout exceeds the server's limit of 180 s for one request.
	defaultTimeout = 200 * time.Second
)

// commonFlags holds the flags that all commands share.
type commonFlags struct {
	output    string
	servers   serverList
	tokenFile string
	caFile    string
	timeout   time.Duration
}

func defineCommon(flags *flag.FlagSet) *commonFlags {
	c := &commonFlags{}
	flags.StringVar(&c.output, "o", outputText, "output `format`: text or json")
	flags.Var(&c.servers, "server", "`address` of an administration API, host:port; may be repeated or hold several, separated by commas")
	flags.StringVar(&c.tokenFile, "token-file", "", "`file` that holds the bearer token")
	flags.StringVar(&c.caFile, "ca-file", "", "`file` with the certificates (PEM) that may sign the server's; turns TLS on")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest wait for the answer of one server")
	return c
}

// serverList is the value of -server.
type serverList []string

func (s *serverList) String() string { return strings.Join(*s, ",") }

// Set implements flag.Value.
func (s *serverList) Set(value string) error {
	for address := range strings.SplitSeq(value, ",") {
		if address = strings.TrimSpace(address); address != "" {
			*s = append(*s, address)
		}
	}
	return nil
}

// client returns a client for the servers. An open command needs no token.
func (c *commonFlags) client(open bool) (*client, error) {
	switch {
	case c.output != outputText && c.output != outputJSON:
		return nil, &UsageError{Message: "-o must be text or json"}
	case len(c.servers) == 0:
		return nil, &UsageError{Message: "-server is needed"}
	case c.tokenFile == "" && !open:
		return nil, &UsageError{Message: "-token-file is needed"}
	case c.timeout <= 0:
		return nil, &UsageError{Message: "-timeout must be positive"}
	}
	var token []byte
	if c.tokenFile != "" {
		var err error
		if token, err = os.ReadFile(c.tokenFile); err != nil {
			return nil, &UsageError{Message: "-token-file: " + err.Error()}
		}
	}
	return newClient(c.servers, strings.TrimSpace(string(token)), c.caFile, c.timeout)
}

// parseInterspersed parses flags before, between and after positional arguments;
// the flag package stops at the first positional argument.
func parseInterspersed(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		rest := flags.Args()
		if len(rest) == 0 {
			return positional, nil
		}
		if len(args) > len(rest) && args[len(args)-len(rest)-1] == "--" {
			return append(positional, rest...), nil
		}
		positional = append(positional, rest[0])
		args = rest[1:]
	}
}
