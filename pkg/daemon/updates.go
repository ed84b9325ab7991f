package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// updateInterval is the interval at which evidence is published and the
	// subscriptions are checked. It equals the interval of the reports to
	// distributors.
	updateInterval = time.Second
	// subscribeTimeout bounds one attempt to subscribe.
	subscribeTimeout = 5 * time.Second
	// shareSuffix is the key suffix of the shares that distributors return.
	shareSuffix = "#share"
)

// applyUpdates passes updates from the failure domain to the other parts: bundles
// and grants, suspects, and shares of limits. It also subscribes to the services
// that the local target needs.
func (d *Daemon) applyUpdates(ctx context.Context) {
	changes, stop := d.member.Table().Changes()
	defer stop()
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	subscribed := make(chan struct{}, 1)
	subscribed <- struct{}{}
	for {
		d.versions.update()
		d.applySuspects()
		d.applyShares()
		select {
		case <-ctx.Done():
			return
		case <-changes:
			continue
		case <-d.member.SnapshotChanged():
		case <-ticker.C:
			d.versions.publishEvidence()
		}
		select {
		case <-subscribed:
			if d.tasks.Submit(func() { d.subscribe(ctx); subscribed <- struct{}{} }) != nil {
				subscribed <- struct{}{}
			}
		default: // the previous attempt is still running
		}
	}
}

// subscribe subscribes to the service of the local target and to the services that
// it depends on.
func (d *Daemon) subscribe(ctx context.Context) {
	endpoint := d.local.Endpoint()
	if endpoint == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	services := []string{endpoint.GetService()}
	if bundle, ok := d.member.Snapshot().Bundle(endpoint.GetService()); ok {
		services = append(services, bundle.Service.DependsOn...)
	}
	current := d.member.Status().Subscriptions
	services = slices.DeleteFunc(services, func(s string) bool { return slices.Contains(current, s) })
	if len(services) == 0 {
		return
	}
	if err := d.member.Subscribe(ctx, services...); err != nil {
		eventSubscribeFailed.Log(d.logger, zap.Strings("services", services), zap.Error(err))
	}
}

// applySuspects applies the suspects that peer targets of the local target's
// service reported.
func (d *Daemon) applySuspects() {
	endpoint := d.local.Endpoint()
	if endpoint == nil {
		return
	}
	service := endpoint.GetService()
	for _, record := range d.member.Table().Records(pb.RecordKind_RECORD_SUSPECT, service) {
		suspect := &pb.Suspect{}
		if record.GetOwner() != d.settings.Name && proto.Unmarshal(record.GetPayload(), suspect) == nil {
			d.gate.Suspects().Apply(record.GetOwner(), service, suspect)
		}
	}
}

// applyShares applies the shares of the members' rate limits that the distributors
// returned.
func (d *Daemon) applyShares() {
	for _, service := range d.member.Status().Subscriptions {
		var shares []*pb.Usage
		for _, record := range d.member.Table().Records(pb.RecordKind_RECORD_USAGE, service) {
			usage := &pb.Usage{}
			if strings.HasSuffix(record.GetKey(), shareSuffix) && proto.Unmarshal(record.GetPayload(), usage) == nil {
				shares = append(shares, usage)
			}
		}
		if len(shares) > 0 {
			d.router.ApplyShares(service, shares)
		}
	}
}
