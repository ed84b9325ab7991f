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
	// followInterval is the interval of evidence records and of the check
	// whether subscriptions changed; it is that of the reports to distributors.
	followInterval = time.Second
	// subscribeTimeout bounds one attempt to subscribe.
	subscribeTimeout = 5 * time.Second
	// shareSuffix ends the keys of the shares that distributors return.
	shareSuffix = "#share"
)

// follow hands what the failure domain delivers to the other parts: bundles
// and grants, suspects, and shares of limits. It keeps the subscriptions equal
// to what the own target needs.
func (d *Daemon) follow(ctx context.Context) {
	changes, stop := d.member.Table().Changes()
	defer stop()
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	subscribed := make(chan struct{}, 1)
	subscribed <- struct{}{}
	for {
		d.versions.refresh()
		d.applySuspects()
		d.applyShares()
		select {
		case <-ctx.Done():
			return
		case <-changes:
			continue
		case <-d.member.Swapped():
		case <-ticker.C:
			d.versions.publish()
		}
		select {
		case <-subscribed:
			if d.tasks.Submit(func() { d.subscribe(ctx); subscribed <- struct{}{} }) != nil {
				subscribed <- struct{}{}
			}
		default: // the last attempt is under way
		}
	}
}

// subscribe adds the services that the own target belongs to and calls.
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
	held := d.member.Status().Subscriptions
	services = slices.DeleteFunc(services, func(s string) bool { return slices.Contains(held, s) })
	if len(services) == 0 {
		return
	}
	if err := d.member.Subscribe(ctx, services...); err != nil {
		eventSubscribeFailed.Log(d.logger, zap.Strings("services", services), zap.Error(err))
	}
}

// applySuspects takes the suspects that other target sides of the own service
// reported.
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

// applyShares takes the shares of the members' limits that the distributors
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
