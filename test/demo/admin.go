package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/pkg/config"
)

// adminClient runs nutmegctl against the daemons.
type adminClient struct {
	program   string
	tokenFile string
	vms       []*vm
}

// run runs one nutmegctl command against the first three VMs that are not down and
// returns its standard output, standard error and exit code.
func (c *adminClient) run(command string, args ...string) (string, string, int, error) {
	var servers []string
	for _, v := range c.vms {
		if !v.down {
			servers = append(servers, v.address(portAdmin))
		}
	}
	cmdArgs := append([]string{command, "-server", strings.Join(servers[:3], ","), "-token-file", c.tokenFile}, args...)
	cmd := exec.Command(c.program, cmdArgs...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return stdout.String(), stderr.String(), exit.ExitCode(), nil
	}
	return stdout.String(), stderr.String(), 0, err
}

// query runs a nutmegctl command with JSON output and decodes the output into result.
func (c *adminClient) query(result any, command string, args ...string) error {
	stdout, stderr, code, err := c.run(command, append([]string{"-o", "json"}, args...)...)
	if err != nil {
		return err
	}
	if code != 0 {
		return fmt.Errorf("nutmegctl %s: exit code %d: %s", command, code, stderr)
	}
	return json.Unmarshal([]byte(stdout), result)
}

func (c *adminClient) status() (admin.Status, error) {
	var s admin.Status
	return s, c.query(&s, "status")
}

// moves returns the moves by name.
func (c *adminClient) moves() (map[string]admin.MoveStatus, error) {
	var list []admin.MoveStatus
	if err := c.query(&list, "moves"); err != nil {
		return nil, err
	}
	byName := map[string]admin.MoveStatus{}
	for _, m := range list {
		byName[m.Move] = m
	}
	return byName, nil
}

// writeMoves writes the example services with the given deadline and hold in all moves
// and with low caution, so that the moves fit into the time of the demo.
func writeMoves(examples, dir string, deadline time.Time, hold time.Duration) error {
	for _, name := range []string{"catalogue.json", "orderdesk.json"} {
		data, err := os.ReadFile(filepath.Join(examples, name))
		if err != nil {
			return err
		}
		var file config.File
		if err := json.Unmarshal(data, &file); err != nil {
			return err
		}
		for i := range file.Services {
			for j := range file.Services[i].Moves {
				m := &file.Services[i].Moves[j]
				m.By, m.Hold, m.Caution = deadline.UTC(), config.Duration(hold), config.CautionLow
			}
		}
		if data, err = json.MarshalIndent(file, "", "  "); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
