package daemon

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// pushTimeout bounds the push of a new version to one distributor.
	pushTimeout = 2 * time.Second
	// progressTimeout bounds the progress request to the distributor and the
	// store read of a status request.
	progressTimeout = 2 * time.Second
	movePrefix      = "move/"
)

// pushHead sends a version that this daemon accepted to its distributors, so that
// a store outage right after acceptance does not delay the rollout of the version.
func (d *Daemon) pushHead(delta *pb.ConfigDelta) {
	for _, distributor := range d.member.Status().Distributors {
		d.spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
			defer cancel()
			client := d.peers.Client(ctx, distributor.Address)
			if _, err := client.PushHead(ctx, &pb.PushHeadRequest{Config: delta}); err != nil {
				eventPushFailed.Log(d.logger, zap.String("distributor", distributor.Address), zap.Error(err))
			}
		})
	}
}

// moveDone reports whether the stored record of a move has the state done.
func (d *Daemon) moveDone(ctx context.Context, service, name string, generation uint64) bool {
	object, err := d.store.Get(ctx, move.RecordKey(service, name))
	if err != nil {
		return false
	}
	record, err := move.DecodeRecord(object.Key, object.Value)
	return err == nil && record.Generation == generation && record.Stage.State == pb.MoveState_MOVE_DONE
}

// Status implements admin.StatusProvider.
func (d *Daemon) Status(ctx context.Context) (admin.Status, error) {
	local := d.member.Status()
	status := admin.Status{
		Daemon: local.Name, Domain: local.Domain, Version: local.Version, FleetVersion: max(local.Version, local.Floor),
	}
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	progress, err := d.member.Progress(ctx)
	if err == nil {
		for _, p := range progress {
			status.Domains = append(status.Domains, admin.DomainStatus{
				Domain: p.GetDomain(), Version: p.GetVersion(), Members: int(p.GetMembers()),
				Behind: int(p.GetBehind()), BehindNames: p.GetBehindNames(), AgeMS: p.GetAgeMs(),
			})
		}
	}
	for _, distributor := range local.Distributors {
		status.FleetVersion = max(status.FleetVersion, distributor.Version)
	}
	status.Store = d.storeStatus(ctx)
	return status, nil
}

// storeStatus probes the store with one read, since a daemon that is not a
// distributor rarely contacts the store.
func (d *Daemon) storeStatus(ctx context.Context) admin.StoreStatus {
	_, err := d.store.Get(ctx, config.HeadKey)
	if err == nil || store.IsNotFound(err) {
		d.lastStoreResponseMS.Store(time.Now().UnixMilli())
		return admin.StoreStatus{Reachable: true}
	}
	status := admin.StoreStatus{Error: err.Error()}
	if since := d.member.Status().StoreDownSince; !since.IsZero() {
		status.StaleSince = &since
	} else if lastMS := d.lastStoreResponseMS.Load(); lastMS > 0 {
		last := time.UnixMilli(lastMS)
		status.StaleSince = &last
	}
	return status
}

// Moves implements admin.MoveProvider. While the store is unavailable, it reports
// only the moves in the grants that this daemon has received.
func (d *Daemon) Moves(ctx context.Context, service string) ([]admin.MoveStatus, error) {
	var moves []admin.MoveStatus
	for _, report := range d.recordedMoves(ctx, service) {
		moves = append(moves, moveStatus(report))
	}
	snapshot := d.member.Snapshot()
	if snapshot == nil {
		return moves, nil
	}
	for name := range snapshot.Manifest().Entries {
		if service != "" && service != name {
			continue
		}
		for _, grant := range d.member.Table().Grants(name) {
			moves = addGrant(moves, grant.Grant)
		}
	}
	return moves, nil
}

func (d *Daemon) recordedMoves(ctx context.Context, service string) []*move.Report {
	prefix := movePrefix
	if service != "" {
		prefix += service + "/"
	}
	objects, _, err := d.store.List(ctx, prefix)
	if err != nil {
		return nil
	}
	var reports []*move.Report
	for _, object := range objects {
		if record, err := move.DecodeRecord(object.Key, object.Value); err == nil {
			report := record.Report()
			reports = append(reports, &report)
		}
	}
	return reports
}

// moveStatus converts the report of a stored record to the form of the API.
func moveStatus(report *move.Report) admin.MoveStatus {
	return admin.MoveStatus{
		Service: report.Service, Move: report.Move, From: report.From, To: report.To, By: report.By, Generation: report.Generation,
		State: moveStates[report.State], Share: report.Share, NonIdempotentShare: report.NonIdempotent, Reason: report.Reason,
		Recorded: true, Detail: report,
	}
}

var moveStates = map[move.StateName]admin.MoveState{
	move.StateWaiting:   admin.MoveWaiting,
	move.StateMoving:    admin.MoveMoving,
	move.StateHolding:   admin.MoveHolding,
	move.StateDone:      admin.MoveDone,
	move.StateTakenBack: admin.MoveTakenBack,
	move.StateLate:      admin.MoveLate,
}

// addGrant adds the move of a grant if moves does not contain it. Otherwise it
// replaces the state of the move if the grant has a higher generation, or a different
// state in the same generation. A final state of the same generation is kept.
func addGrant(moves []admin.MoveStatus, grant *pb.Grant) []admin.MoveStatus {
	granted := admin.MoveStatus{
		Service: grant.GetService(), Move: grant.GetMove(), From: grant.GetFrom(), To: grant.GetTo(), Generation: grant.GetGeneration(),
		State: moveStates[move.StateNameOf(grant.GetState())], Share: grant.GetShare(),
		NonIdempotentShare: grant.GetNonIdempotentShare(), Reason: grant.GetReason(),
	}
	for i := range moves {
		existing := &moves[i]
		if existing.Service != granted.Service || existing.Move != granted.Move {
			continue
		}
		final := existing.State == admin.MoveDone || existing.State == admin.MoveTakenBack
		if granted.Generation > existing.Generation || granted.Generation == existing.Generation && existing.State != granted.State && !final {
			granted.By, granted.Detail = existing.By, existing.Detail
			*existing = granted
		}
		return moves
	}
	return append(moves, granted)
}

// Explain implements admin.Explainer.
func (d *Daemon) Explain(ctx context.Context, request admin.ExplainRequest) (admin.Explanation, error) {
	routing := d.router.Explain(request.Host, request.Path, request.Method)
	if len(routing.Unsubscribed) > 0 && d.member.Subscribe(ctx, routing.Unsubscribed...) == nil {
		routing = d.router.Explain(request.Host, request.Path, request.Method)
	}
	result := admin.Explanation{
		Version: routing.ConfigVersion, Matched: routing.Matched, Reason: routing.Reason, Service: routing.Service, Route: routing.Route,
		Idempotent: routing.Idempotent, DeadlineMS: time.Duration(routing.Deadline).Milliseconds(), Attempts: routing.Attempts,
	}
	if bundle, ok := d.member.Snapshot().Bundle(routing.Service); ok {
		result.Team = bundle.Service.Team
	}
	for _, version := range slices.Sorted(maps.Keys(routing.Shares)) {
		result.Versions = append(result.Versions, admin.VersionShare{Version: version, Share: routing.Shares[version]})
	}
	for _, t := range routing.Targets {
		result.Targets = append(result.Targets, admin.TargetChoice{
			Name: t.Name, Domain: t.Domain, Version: t.Version, Slots: t.Slots,
			InUse: int(math.Round(t.Busy * float64(t.Slots))), Usable: t.Candidate, Reason: t.Reason,
		})
	}
	return result, nil
}
