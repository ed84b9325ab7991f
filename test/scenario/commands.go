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
	startupTimeout = 30 * time.Second
	meshKey        = "mesh"
)

// command implements one command of the scripts.
type command func(m *mesh, ts *testscript.TestScript, args []string) error

// Params returns the testscript parameters for the scripts in dir. The programs
// in binDir are run, configDir holds the shared configuration files, and at most
// parallel scenarios run at the same time.
func Params(dir, binDir, configDir string, parallel int) testscript.Params {
	semaphore := make(chan struct{}, parallel)
	return testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			semaphore <- struct{}{}
			env.Defer(func() { <-semaphore })
			t := env.T()
			m, err := newMesh(binDir, env.WorkDir, func(format string, args ...any) { t.Log(fmt.Sprintf(format, args...)) })
			if err != nil {
				return err
			}
			env.Defer(m.close)
			env.Values[meshKey] = m
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
			m := ts.Value(meshKey).(*mesh)
			if negated {
				ts.Fatalf("command %s cannot be negated", name)
			}
			start := time.Now()
			if err := run(m, ts, args); err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
			m.commandTimes[name] = start
			ts.Logf("%s %s: %.1f s", name, strings.Join(args, " "), time.Since(start).Seconds())
		}
	}
	return result
}

// needArgs returns an error if the number of arguments is out of range.
func needArgs(args []string, low, high int) error {
	if len(args) < low || len(args) > high {
		return fmt.Errorf("expected %d to %d arguments", low, high)
	}
	return nil
}

// cmdStore implements "store start|up|down|slow DURATION|lose PROBABILITY".
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
	return fmt.Errorf("unknown store action %q", strings.Join(args, " "))
}

// cmdVM implements "vm NAME DOMAIN SERVICE VERSION [target flags]".
func cmdVM(m *mesh, _ *testscript.TestScript, args []string) error {
	if len(args) < 4 {
		return fmt.Errorf("expected NAME DOMAIN SERVICE VERSION")
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
	m.monitor.add(v)
	return nil
}

// cmdRole implements "role VARIABLE distributor DOMAIN SLOT | controller SERVICE
// | member DOMAIN": sets the variable to the name of the VM with the role.
func cmdRole(m *mesh, ts *testscript.TestScript, args []string) error {
	if err := needArgs(args, 3, 4); err != nil {
		return err
	}
	return m.eventually(startupTimeout, func() error {
		v, err := m.vmWithRole(args[1:])
		if err != nil {
			return err
		}
		ts.Setenv(args[0], v.name)
		ts.Logf("%s is %s", args[0], v.name)
		return nil
	})
}

// cmdReady implements "ready": the same condition as "settled", with startupTimeout
// as its limit.
func cmdReady(m *mesh, _ *testscript.TestScript, _ []string) error {
	return m.eventually(startupTimeout, m.settled)
}

// vmProcess is one process of a VM: its daemon or its target.
type vmProcess struct {
	vm      *vm
	process *processes.Process
	daemon  bool
}

// resolveProcesses returns the processes that the names refer to. A name is NAME
// for both processes of a VM, NAME/daemon or NAME/target for one of them, or
// @DOMAIN for the processes of all VMs of a domain.
func (m *mesh) resolveProcesses(names []string) ([]vmProcess, error) {
	var procs []vmProcess
	for _, name := range names {
		if domain, ok := strings.CutPrefix(name, "@"); ok {
			for _, v := range m.all() {
				if v.domain == domain {
					procs = append(procs, vmProcess{v, v.daemon, true}, vmProcess{v, v.target, false})
				}
			}
			continue
		}
		name, kind, _ := strings.Cut(name, "/")
		v, err := m.findVM(name)
		if err != nil {
			return nil, err
		}
		if kind != "target" {
			procs = append(procs, vmProcess{v, v.daemon, true})
		}
		if kind != "daemon" {
			procs = append(procs, vmProcess{v, v.target, false})
		}
	}
	if len(procs) == 0 {
		return nil, fmt.Errorf("expected names of VMs")
	}
	return procs, nil
}

// signal sends a signal to processes, and sets whether the load excludes the VMs
// whose daemons are among them.
func (m *mesh) signal(names []string, s syscall.Signal, exclude bool) error {
	procs, err := m.resolveProcesses(names)
	if err != nil {
		return err
	}
	for _, p := range procs {
		if p.daemon {
			p.vm.excluded.Store(exclude)
		}
		if err := p.process.Signal(s); err != nil {
			return err
		}
	}
	return nil
}

// cmdKill implements "kill-vm NAME[/daemon|/target]|@DOMAIN...": kills all
// processes at once, without notice.
func cmdKill(m *mesh, _ *testscript.TestScript, args []string) error {
	if err := m.signal(args, syscall.SIGKILL, true); err != nil {
		return err
	}
	procs, err := m.resolveProcesses(args)
	for _, p := range procs {
		_ = p.process.Err() // waits until the process has ended; a killed process returns an error
	}
	return err
}

// cmdPause implements "pause NAME[/daemon|/target]|@DOMAIN...".
func cmdPause(m *mesh, _ *testscript.TestScript, args []string) error {
	return m.signal(args, syscall.SIGSTOP, true)
}

// cmdResume implements "resume NAME[/daemon|/target]|@DOMAIN...".
func cmdResume(m *mesh, _ *testscript.TestScript, args []string) error {
	return m.signal(args, syscall.SIGCONT, false)
}

// cmdStop implements "stop-vm NAME[/daemon|/target]...", a planned stop: targets
// withdraw and stop first, then daemons drain. Callers learn of the stop from the
// daemon's responses.
func cmdStop(m *mesh, ts *testscript.TestScript, args []string) error {
	procs, err := m.resolveProcesses(args)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	errs := make([]error, len(procs))
	for _, daemonStage := range []bool{false, true} {
		for i, p := range procs {
			if p.daemon == daemonStage {
				wg.Go(func() {
					if errs[i] = p.process.Stop(); errs[i] != nil {
						errs[i] = fmt.Errorf("%s: %w", p.process.Name, errs[i])
					}
					if p.daemon {
						p.vm.excluded.Store(true)
					}
				})
			}
		}
		wg.Wait()
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// cmdRestart implements "restart NAME[/daemon|/target]|@DOMAIN...": starts all
// processes of the named VMs that are not running, even if only one is named.
func cmdRestart(m *mesh, _ *testscript.TestScript, args []string) error {
	procs, err := m.resolveProcesses(args)
	if err != nil {
		return err
	}
	for _, p := range procs {
		if err := p.vm.start(m.fleet, m.storeVM.address(portStore)); err != nil {
			return err
		}
	}
	return nil
}

// render writes a copy of a configuration file with its variables substituted,
// and returns the name of the copy.
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

func (m *mesh) recordAccepted(version uint64) {
	for {
		current := m.accepted.Load()
		if version <= current || m.accepted.CompareAndSwap(current, version) {
			return
		}
	}
}

// cmdApply implements "apply FILE [NAME=VALUE...]". In the file, @NAME@ is
// replaced by the value, @GENERATION@ by the generation number of the apply, and
// @BY@ by the current time plus the duration BY.
func cmdApply(m *mesh, ts *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return fmt.Errorf("expected FILE")
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
	vms := m.available()
	stdout, stderr, code := m.nutmegctl(vms[len(vms)-1], "apply", written)
	out, err := applyOutcome(stdout, code)
	if err != nil || code != 0 {
		return fmt.Errorf("exit code %d: %s%s", code, stdout, stderr)
	}
	m.acceptedAt = time.Now()
	m.generation.Store(generation)
	m.recordAccepted(out.version)
	return nil
}

// cmdRace implements "race FILE ROUNDS NAME...": runs one operator at each VM.
func cmdRace(m *mesh, ts *testscript.TestScript, args []string) error {
	if len(args) < 4 {
		return fmt.Errorf("expected FILE, ROUNDS and at least two names of VMs")
	}
	rounds, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	var vms []*vm
	for _, name := range args[2:] {
		v, err := m.findVM(name)
		if err != nil {
			return err
		}
		vms = append(vms, v)
	}
	return m.race.run(ts.MkAbs(args[0]), rounds, vms)
}
