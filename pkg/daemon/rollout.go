package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/accept"
	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/lease"
	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// collectorShard is the shard whose controller also removes unused blobs,
	// since one collector for all domains is enough.
	collectorShard  = 0
	collectInterval = 10 * time.Minute
)

// collect removes unused blobs from the store while the lease is held.
func (d *Daemon) collect(ctx context.Context) {
	collector := accept.NewCollector(d.acceptor)
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := collector.Step(ctx); err != nil {
			eventCollectFailed.Log(d.logger, zap.Error(err))
		}
	}
}

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

// runController judges a shard from the moment at which its lease is first held.
// When the lease ends, the controller goes on without raising any share, since
// the store may be down and a bad version must still be taken back; it ends
// when it sees a higher fencing number, or when this daemon takes the lease anew.
func (d *Daemon) runController(ctx context.Context, distributor *domain.Distributor, shard int) {
	l := lease.New(lease.Options{
		Store: d.store, Key: fmt.Sprintf("lease/rollout/%d", shard),
		Holder:  lease.HolderName(d.settings.Name, d.member.Incarnation()),
		Address: d.settings.Advertise, Logger: d.logger,
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Submit: d.tasks.Submit,
	})
	stop := func() {}
	_ = l.Run(ctx, func(held context.Context, fencing uint64) {
		stop()
		stop = d.startController(ctx, held, distributor, fencing, shard)
		if shard == collectorShard {
			_ = d.tasks.Submit(func() { d.collect(held) }) // a full pool leaves it to the next holder
		}
		<-held.Done()
	})
	stop()
}

// startController runs a controller as a task and returns a function that ends
// it and waits for its end.
func (d *Daemon) startController(ctx, held context.Context, distributor *domain.Distributor, fencing uint64, shard int) func() {
	controller := move.NewController(move.Options{
		Owner: d.settings.Name, Records: distributor, Services: rolloutServices{distributor},
		Store: d.store, Logger: d.logger,
		LeaseValid: func() bool { return held.Err() == nil },
		Spawn:      d.spawn,
	})
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	err := d.tasks.Submit(func() {
		defer close(ended)
		if err := controller.Run(ctx, fencing, shard); err != nil {
			eventControllerFailed.Log(d.logger, zap.Int("shard", shard), zap.Error(err))
		}
	})
	if err != nil {
		close(ended)
		eventControllerFailed.Log(d.logger, zap.Int("shard", shard), zap.Error(err))
	}
	return func() {
		cancel()
		<-ended
	}
}

// spawn runs a function as a task, or at once if the pool is full.
func (d *Daemon) spawn(f func()) {
	if err := d.tasks.Submit(f); err != nil {
		f()
	}
}
