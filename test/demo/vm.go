package main

import (
	"fmt"

	"nutmegstand.example/nutmegstand/pkg/settings"
	"nutmegstand.example/nutmegstand/test/processes"
)

const (
	loopback          = "127.0.0.1"
	portsPerVM        = 10
	adminToken        = "demo-administrator"
	processNameFormat = "%s-%s"
)

// vm is a VM of the demo with a daemon and its local target.
type vm struct {
	name, domain     string
	service, version string
	targetFlags      []string
	port             int
	daemon, target   *processes.Process
	down             bool
}

func (v *vm) address(offset int) string { return fmt.Sprintf("%s:%d", loopback, v.port+offset) }

// Offsets of the listening ports from the first port of a VM.
const (
	portCalls = iota
	portLocal
	portAnnounce
	portDaemons
	portAdmin
	portMetrics
	portTarget
)

// targetKind is a version of a service with additional flags for its targets, such as
// an injected fault.
type targetKind struct {
	service, version string
	flags            []string
}

// targetKinds are the targets in each failure domain, one of each. The new version of
// catalogue returns errors on one route.
var targetKinds = []targetKind{
	{service: "orderdesk", version: "2026.11", flags: []string{"-inner-host", "catalogue.inzuzi.example", "-inner-path", "/stock"}},
	{service: "orderdesk", version: "2026.12", flags: []string{"-inner-host", "catalogue.inzuzi.example", "-inner-path", "/stock"}},
	{service: "catalogue", version: "41"},
	{service: "catalogue", version: "42", flags: []string{"-error-rate", "0.3", "-error-path", "/fish"}},
}

var domains = []string{"kgl-a", "kgl-b", "kgl-c"}

func newVMs(basePort int) []*vm {
	var vms []*vm
	for _, domain := range domains {
		for i, kind := range targetKinds {
			vms = append(vms, &vm{
				name: fmt.Sprintf("%s-%d", domain, i+1), domain: domain,
				service: kind.service, version: kind.version, targetFlags: kind.flags,
				port: basePort + portsPerVM*(len(vms)+1),
			})
		}
	}
	return vms
}

// listen returns the listen addresses of the daemon.
func (v *vm) listen() settings.Listen {
	return settings.Listen{
		Calls: v.address(portCalls), Local: v.address(portLocal), Announce: v.address(portAnnounce),
		Daemons: v.address(portDaemons), Admin: v.address(portAdmin), Metrics: v.address(portMetrics),
	}
}

// start starts the daemon and the target of a VM.
func (v *vm) start(children *processes.Group, dir, storeAddress string) error {
	file, err := processes.WriteSettings(dir, v.name, v.domain, adminToken, storeAddress, v.listen())
	if err != nil {
		return err
	}
	if v.daemon, err = children.Start(fmt.Sprintf(processNameFormat, v.name, "daemon"), "nutmegstandd", "-settings", file); err != nil {
		return err
	}
	flags := append([]string{
		"-listen", v.address(portTarget), "-announce", v.address(portAnnounce), "-local", v.address(portLocal),
		"-service", v.service, "-version", v.version,
	}, v.targetFlags...)
	v.target, err = children.Start(fmt.Sprintf(processNameFormat, v.name, "target"), "nutmegtarget", flags...)
	return err
}
