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
	// collectorShard is the shard whose lease holder also removes unused blobs,
	// since one collector for all domains is enough.
	collectorShard       = 0
	collectBlobsInterval = 10 * time.Minute
)

// collectBlobs removes unused blobs from the store until ctx ends.
func (d *Daemon) collectBlobs(ctx context.Context) {
	collector := accept.NewCollector(d.acceptor)
	ticker := time.NewTicker(collectBlobsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := collector.Collect(ctx); err != nil {
			eventCollectFailed.Log(d.logger, zap.Error(err))
		}
	}
}

// rolloutServices implements move.Services with the view of a distributor.
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
// distributor, and controls the moves of the shards whose leases it holds.
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

// runController runs the controller of a shard from the first acquisition of the
// shard's lease. When the lease ends, the controller continues without raising any
// share, since the store may be unavailable and a faulty version must still be
// taken back. It stops when it receives a higher fencing number, or when this daemon
// acquires the lease again.
func (d *Daemon) runController(ctx context.Context, distributor *domain.Distributor, shard int) {
	shardLease := lease.New(lease.Options{
		Store: d.store, Key: fmt.Sprintf("lease/rollout/%d", shard),
		Holder:  lease.HolderName(d.settings.Name, d.member.Incarnation()),
		Address: d.settings.Advertise, Logger: d.logger,
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Submit: d.tasks.Submit,
	})
	stop := func() {}
	_ = shardLease.Run(ctx, func(leaseCtx context.Context, fencing uint64) {
		stop()
		stop = d.startController(ctx, leaseCtx, distributor, fencing, shard)
		if shard == collectorShard {
			_ = d.tasks.Submit(func() { d.collectBlobs(leaseCtx) }) // if the pool is full, the next holder collects
		}
		<-leaseCtx.Done()
	})
	stop()
}

// startController runs a controller as a task and returns a function that stops
// the controller and waits for it to return.
func (d *Daemon) startController(ctx, leaseCtx context.Context, distributor *domain.Distributor, fencing uint64, shard int) func() {
	controller := move.NewController(move.Options{
		Owner: d.settings.Name, Records: distributor, Services: rolloutServices{distributor},
		Store: d.store, Logger: d.logger,
		LeaseValid: func() bool { return leaseCtx.Err() == nil },
		Spawn:      d.spawn,
	})
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	err := d.tasks.Submit(func() {
		defer close(done)
		if err := controller.Run(ctx, fencing, shard); err != nil {
			eventControllerFailed.Log(d.logger, zap.Int("shard", shard), zap.Error(err))
		}
	})
	if err != nil {
		close(done)
		eventControllerFailed.Log(d.logger, zap.Int("shard", shard), zap.Error(err))
	}
	return func() {
		cancel()
		<-done
	}
}

// spawn runs a function as a task, or synchronously if the pool is full.
func (d *Daemon) spawn(task func()) {
	if err := d.tasks.Submit(task); err != nil {
		task()
	}
}
