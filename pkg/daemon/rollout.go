package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/lease"
	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// rolloutServices gives a distributor's view to the rollout controllers.
type rolloutServices struct{ distributor *domain.Distributor }

// Bundles implements move.Services.
func (r rolloutServices) Bundles(shard int) []*config.Bundle {
	var bundles []*config.Bundle
	for _, bundle := range r.distributor.Bundles() {
		if move.Shard(bundle.Service.Name) == shard {
			bundles = append(bundles, bundle)
		}
	}
	return bundles
}

// EndpointCounts implements move.Services.
func (r rolloutServices) EndpointCounts(service string) map[string]int {
	counts := map[string]int{}
	for _, e := range r.distributor.Table().Endpoints(service) {
		if !e.Departed && !e.Lost && e.GetState() != pb.EndpointState_ENDPOINT_LEAVING {
			counts[e.GetVersion()]++
		}
	}
	return counts
}

// runControllers contends for the lease of each shard while this daemon is a
// distributor, and judges the moves of the shards that it holds.
func (d *Daemon) runControllers(ctx context.Context, distributor *domain.Distributor) {
	var wg sync.WaitGroup
	for shard := range move.Shards {
		wg.Add(1)
		task := func() {
			defer wg.Done()
			d.runController(ctx, distributor, shard)
		}
		if err := d.tasks.Submit(task); err != nil {
			wg.Done()
		}
	}
	wg.Wait()
}

func (d *Daemon) runController(ctx context.Context, distributor *domain.Distributor, shard int) {
	l := lease.New(lease.Options{
		Store: d.store, Key: fmt.Sprintf("lease/rollout/%d", shard),
		Holder:  lease.HolderName(d.settings.Name, d.member.Incarnation()),
		Address: d.settings.Advertise, Logger: d.logger,
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Submit: d.tasks.Submit,
	})
	_ = l.Run(ctx, func(held context.Context, fencing uint64) {
		controller := move.NewController(move.Options{
			Owner: d.settings.Name, Records: distributor, Services: rolloutServices{distributor},
			Store: d.store, Logger: d.logger,
			LeaseValid: func() bool { return held.Err() == nil },
			Spawn:      d.spawn,
		})
		if err := controller.Run(held, fencing, shard); err != nil {
			eventControllerFailed.Log(d.logger, zap.Int("shard", shard), zap.Error(err))
		}
	})
}

// spawn runs a function as a task, or at once if the pool is full.
func (d *Daemon) spawn(f func()) {
	if err := d.tasks.Submit(f); err != nil {
		f()
	}
}
