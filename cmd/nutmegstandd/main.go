// Command nutmegstandd is the daemon that runs beside each target and uses the
// native interface of nutmegstand. Command nutmegnode is the daemon for the users'
// platform.
package main

import (
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/daemon"
	"nutmegstand.example/nutmegstand/pkg/service"
	"nutmegstand.example/nutmegstand/pkg/settings"
)

func main() {
	service.Main(load)
}

func load(file string) (*service.Program, error) {
	s, err := settings.Load(file)
	if err != nil {
		return nil, err
	}
	return &service.Program{
		MemoryLimit: s.MemoryLimitBytes, Level: s.Log.ZapLevel(),
		Build: func(l *zap.Logger) (service.Runner, error) { return daemon.New(s, l) },
	}, nil
}
