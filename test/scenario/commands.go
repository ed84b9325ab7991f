package scenario

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"nutmegstand.example/nutmegstand/test/processes"
)

const (
	bootTimeout = 30 * time.Second
	meshValue   = "mesh"
)

// command is one command of the scripts.
type command func(m *mesh, ts *testscript.TestScript, args []string) error

// Params returns the parameters of testscript for the scripts in dir. Programs
// are run from binDir, shared configuration files are in configDir, and at most
// parallel scenarios run at the same time.
func Params(dir, binDir, configDir string, parallel int) testscript.Params {
	places := make(chan struct{}, parallel)
	return testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			places <- struct{}{}
			env.Defer(func() { <-places })
			t := env.T()
			m, err := newMesh(binDir, env.WorkDir, func(format string, args ...any) { t.Log(fmt.Sprintf(format, args...)) })
			if err != nil {
				return err
			}
			env.Defer(m.close)
			env.Values[meshValue] = m
			env.Setenv("CONFIG", configDir)
			return nil
		},
		Cmds: testscriptCommands(),
	}
}

func testscriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	commands := map[string]command{
		"store": cmdStore, "vm": cmdVM, "role": cmdRole, "ready": cmdReady,
		"kill-vm": cmdKill, "pause": cmdPause, "resume": cmdResume, "stop-vm": cmdStop, "restart": cmdRestart,
		"apply": cmdApply, "race": cmdRace, "converged": cmdConverged, "settled": cmdSettled, "serving": cmdServing,
		"load": cmdLoad, "sleep": cmdSleep, "check": cmdCheck,
		"fault": cmdFault, "share": cmdShare, "move": cmdMove, "poison": cmdPoison,
	}
	result := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commands {
		result[name] = func(ts *testscript.TestScript, negated bool, args []string) {
			m := ts.Value(meshValue).(*mesh)
			if negated {
				ts.Fatalf("%s cannot be negated", name)
			}
			start := time.Now()
			if err := run(m, ts, args); err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
			m.marks[name] = start
			ts.Logf("%s %s: %.1f s", name, strings.Join(args, " "), time.Since(start).Seconds())
		}
	}
	return result
}

// needArgs returns an error unless the number of arguments is in range.
func needArgs(args []string, low, high int) error {
	if len(args) < low || len(args) > high {
		return fmt.Errorf("needs %d to %d arguments", low, high)
	}
	return nil
}

// cmdStore: store start|up|down|slow DURATION|lose PROBABILITY.
func cmdStore(m *mesh, _ *testscript.TestScript, args []string) error {
	if err := needArgs(args, 1, 2); err != nil {
		return err
	}
	switch action := args[0]; {
	case action == "start":
		return m.startStore()
	case action == "up":
		return m.setStoreFaults(`{}`)
	case action == "down":
		return m.setStoreFaults(`{"down":true}`)
	case action == "slow" && len(args) == 2:
		latency, err := time.ParseDuration(args[1])
		if err != nil {
			return err
		}
		return m.setStoreFaults(fmt.Sprintf(`{"latencyNs":%d}`, latency.Nanoseconds()))
	case action == "lose" && len(args) == 2:
		return m.setStoreFaults(fmt.Sprintf(`{"loseAnswer":%s}`, args[1]))
	}
	return fmt.Errorf("unknown action %s", strings.Join(args, " "))
}

// cmdVM: vm NAME DOMAIN SERVICE VERSION [target flags].
func cmdVM(m *mesh, _ *testscript.TestScript, args []string) error {
	if len(args) < 4 {
		return fmt.Errorf("needs NAME DOMAIN SERVICE VERSION")
	}
	ip, err := freeIP()
	if err != nil {
		return err
	}
	v := &vm{name: args[0], domain: args[1], service: args[2], version: args[3], flags: args[4:], ip: ip}
	if err := v.start(m.fleet, m.storeVM.address(portStore)); err != nil {
		return err
	}
	m.mu.Lock()
	m.vms = append(m.vms, v)
	m.mu.Unlock()
	m.watch.add(v)
	return nil
}

// cmdRole: role VARIABLE distributor DOMAIN SLOT | controller SERVICE | member DOMAIN.
func cmdRole(m *mesh, ts *testscript.TestScript, args []string) error {
	if err := needArgs(args, 3, 4); err != nil {
		return err
	}
	return m.eventually(bootTimeout, func() error {
		v, err := m.role(args[1:])
		if err != nil {
			return err
		}
		ts.Setenv(args[0], v.name)
		ts.Logf("%s is %s", args[0], v.name)
		return nil
	})
}

// cmdReady waits until all daemons see one another.
func cmdReady(m *mesh, _ *testscript.TestScript, _ []string) error {
	return m.eventually(bootTimeout, m.settled)
}

// part is one process of a VM.
type part struct {
	vm      *vm
	process *processes.Process
	daemon  bool
}

// parts resolves names of VMs, NAME/daemon, NAME/target and @DOMAIN.
func (m *mesh) parts(names []string) ([]part, error) {
	var parts []part
	for _, name := range names {
		if domain, ok := strings.CutPrefix(name, "@"); ok {
			for _, v := range m.all() {
				if v.domain == domain {
					parts = append(parts, part{v, v.daemon, true}, part{v, v.target, false})
				}
			}
			continue
		}
		name, which, _ := strings.Cut(name, "/")
		v, err := m.vm(name)
		if err != nil {
			return nil, err
		}
		if which != "target" {
			parts = append(parts, part{v, v.daemon, true})
		}
		if which != "daemon" {
			parts = append(parts, part{v, v.target, false})
		}
	}
	if len(parts) == 0 {
		return nil, fmt.Errorf("needs names of VMs")
	}
	return parts, nil
}

// signal sends a signal to parts. Callers avoid the VMs of daemons from then on.
func (m *mesh) signal(names []string, s syscall.Signal, avoid bool) error {
	parts, err := m.parts(names)
	if err != nil {
		return err
	}
	for _, p := range parts {
		if p.daemon {
			p.vm.avoided.Store(avoid)
		}
		if err := p.process.Signal(s); err != nil {
			return err
		}
	}
	return nil
}

// cmdKill: kill-vm NAME[/daemon|/target]|@DOMAIN... Without notice, all at once.
func cmdKill(m *mesh, _ *testscript.TestScript, args []string) error {
	if err := m.signal(args, syscall.SIGKILL, true); err != nil {
		return err
	}
	parts, err := m.parts(args)
	for _, p := range parts {
		_ = p.process.Err() // waits for the end; a killed process has an error
	}
	return err
}

// cmdPause: pause NAME[/daemon|/target]|@DOMAIN...
func cmdPause(m *mesh, _ *testscript.TestScript, args []string) error {
	return m.signal(args, syscall.SIGSTOP, true)
}

// cmdResume: resume NAME[/daemon|/target]|@DOMAIN...
func cmdResume(m *mesh, _ *testscript.TestScript, args []string) error {
	return m.signal(args, syscall.SIGCONT, false)
}

// cmdStop: stop-vm NAME[/daemon|/target]... By plan: the target withdraws, then
// the daemon drains. Callers learn of it from the daemon.
func cmdStop(m *mesh, ts *testscript.TestScript, args []string) error {
	parts, err := m.parts(args)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	failed := make([]error, len(parts))
	for _, daemons := range []bool{false, true} {
		for i, p := range parts {
			if p.daemon == daemons {
				wg.Go(func() {
					if failed[i] = p.process.Stop(); failed[i] != nil {
						failed[i] = fmt.Errorf("%s: %w", p.process.Name, failed[i])
					}
					if p.daemon {
						p.vm.avoided.Store(true)
					}
				})
			}
		}
		wg.Wait()
	}
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// cmdRestart: restart NAME[/daemon|/target]|@DOMAIN... starts what does not run
// of the VMs.
func cmdRestart(m *mesh, _ *testscript.TestScript, args []string) error {
	parts, err := m.parts(args)
	if err != nil {
		return err
	}
	for _, p := range parts {
		if err := p.vm.start(m.fleet, m.storeVM.address(portStore)); err != nil {
			return err
		}
	}
	return nil
}

// render writes a configuration file with its variables filled in.
func (m *mesh) render(file string, variables map[string]string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	text := string(data)
	for name, value := range variables {
		text = strings.ReplaceAll(text, "@"+name+"@", value)
	}
	written, err := os.CreateTemp(m.dir, "*-"+filepath.Base(file))
	if err != nil {
		return "", err
	}
	defer written.Close()
	_, err = written.WriteString(text)
	return written.Name(), err
}

func (m *mesh) noteAccepted(version uint64) {
	for {
		held := m.accepted.Load()
		if version <= held || m.accepted.CompareAndSwap(held, version) {
			return
		}
	}
}

// cmdApply: apply FILE [NAME=VALUE...]. In the file, @NAME@ stands for the
// value, @GENERATION@ for the number of the apply and @BY@ for the time that
// lies the duration BY ahead.
func cmdApply(m *mesh, ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("needs FILE")
	}
	data, err := os.ReadFile(ts.MkAbs(args[0]))
	if err != nil {
		return err
	}
	generation := m.generation.Load()
	if bytes.Contains(data, []byte("@GENERATION@")) {
		generation++
	}
	variables := map[string]string{"GENERATION": fmt.Sprintf("%04d", generation), "SLOTS": "10"}
	for _, arg := range args[1:] {
		name, value, _ := strings.Cut(arg, "=")
		if name == "BY" {
			ahead, err := time.ParseDuration(value)
			if err != nil {
				return err
			}
			value = time.Now().Add(ahead).UTC().Truncate(time.Second).Format(time.RFC3339)
		}
		variables[name] = value
	}
	written, err := m.render(ts.MkAbs(args[0]), variables)
	if err != nil {
		return err
	}
	up := m.up()
	stdout, stderr, code := m.nutmegctl(up[len(up)-1], "apply", written)
	out, err := applyOutcome(stdout, code)
	if err != nil || code != 0 {
		return fmt.Errorf("exit code %d: %s%s", code, stdout, stderr)
	}
	m.acceptedAt = time.Now()
	m.generation.Store(generation)
	m.noteAccepted(out.version)
	return nil
}

// cmdRace: race FILE ROUNDS NAME... One operator at each VM.
func cmdRace(m *mesh, ts *testscript.TestScript, args []string) error {
	if len(args) < 4 {
		return fmt.Errorf("needs FILE, ROUNDS and two or more names")
	}
	rounds, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	var at []*vm
	for _, name := range args[2:] {
		v, err := m.vm(name)
		if err != nil {
			return err
		}
		at = append(at, v)
	}
	return m.race.run(ts.MkAbs(args[0]), rounds, at)
}
