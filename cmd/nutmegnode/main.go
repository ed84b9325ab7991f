// Command nutmegnode is the daemon that runs beside each target on the platform of the
// users. It is separate from nutmegstandd since the machines there are small: it
// does not link the packages that check configuration files and serve administrators.
package main

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/node"
	"nutmegstand.example/nutmegstand/pkg/service"
	"nutmegstand.example/nutmegstand/platform"
)

func main() {
	service.Main(load)
}

func load(file string) (*service.Program, error) {
	s, err := node.LoadSettings(file, platform.ApplyBounds)
	if err != nil {
		return nil, err
	}
	objects := platform.NewObjects(s.Store)
	p := node.Platform{
		Headers: platform.Headers(), Operator: platform.NewOperator(objects), Store: objects, Eras: objects.Eras(), Edge: platform.Edge{},
		ApplyBounds: platform.ApplyBounds,
	}
	return &service.Program{
		MemoryLimit: s.RuntimeMemoryLimit(), GCPercent: s.GCPercent, Level: zapcore.InfoLevel,
		Build: func(l *zap.Logger) (service.Runner, error) { return node.New(s, p, l) },
	}, nil
}
