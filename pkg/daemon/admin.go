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
	// pushTimeout bounds telling one distributor of a new version.
	pushTimeout = 2 * time.Second
	// progressTimeout bounds asking the distributor for the progress.
	progressTimeout = 2 * time.Second
	movePrefix      = "move/"
)

// pushHead hands a version that this daemon accepted to its distributors, so
// that a store that fails right after acceptance delays nobody.
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

// moveDone reports whether a move's record says that it is done.
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
	own := d.member.Status()
	status := admin.Status{
		Daemon: own.Name, Domain: own.Domain, Version: own.Version, FleetVersion: max(own.Version, own.Floor),
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
	for _, distributor := range own.Distributors {
		status.FleetVersion = max(status.FleetVersion, distributor.Version)
	}
	status.Store = d.storeStatus(ctx)
	return status, nil
}

// storeStatus asks the store, since a daemon that is no distributor rarely
// does. An administrator's question is worth one read.
func (d *Daemon) storeStatus(ctx context.Context) admin.StoreStatus {
	_, err := d.store.Get(ctx, config.HeadKey)
	if err == nil || store.IsNotFound(err) {
		d.storeSeen.Store(time.Now().UnixMilli())
		return admin.StoreStatus{Reachable: true}
	}
	status := admin.StoreStatus{Error: err.Error()}
	if since := d.member.Status().StoreDownSince; !since.IsZero() {
		status.StaleSince = &since
	} else if seen := d.storeSeen.Load(); seen > 0 {
		last := time.UnixMilli(seen)
		status.StaleSince = &last
	}
	return status
}

// Moves implements admin.MoveProvider. With the store down it tells what the
// grants say that this daemon holds.
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

// moveStatus converts the report of a stored record.
func moveStatus(r *move.Report) admin.MoveStatus {
	return admin.MoveStatus{
		Service: r.Service, Move: r.Move, From: r.From, To: r.To, By: r.By, Generation: r.Generation,
		State: moveStates[r.State], Share: r.Share, NonIdempotentShare: r.NonIdempotent, Reason: r.Reason,
		Recorded: true, Detail: r,
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

// addGrant adds a move that no record tells of, and shows a state in force that
// is newer than the recorded one. A final recorded state stays.
func addGrant(moves []admin.MoveStatus, g *pb.Grant) []admin.MoveStatus {
	live := admin.MoveStatus{
		Service: g.GetService(), Move: g.GetMove(), From: g.GetFrom(), To: g.GetTo(), Generation: g.GetGeneration(),
		State: moveStates[move.NameOf(g.GetState())], Share: g.GetShare(),
		NonIdempotentShare: g.GetNonIdempotentShare(), Reason: g.GetReason(),
	}
	for i := range moves {
		m := &moves[i]
		if m.Service != live.Service || m.Move != live.Move {
			continue
		}
		ended := m.State == admin.MoveDone || m.State == admin.MoveTakenBack
		if live.Generation > m.Generation || live.Generation == m.Generation && m.State != live.State && !ended {
			live.By, live.Detail = m.By, m.Detail
			*m = live
		}
		return moves
	}
	return append(moves, live)
}

// Explain implements admin.Explainer.
func (d *Daemon) Explain(ctx context.Context, r admin.ExplainRequest) (admin.Explanation, error) {
	e := d.router.Explain(r.Host, r.Path, r.Method)
	if len(e.Unsubscribed) > 0 && d.member.Subscribe(ctx, e.Unsubscribed...) == nil {
		e = d.router.Explain(r.Host, r.Path, r.Method)
	}
	result := admin.Explanation{
		Version: e.ConfigVersion, Matched: e.Matched, Reason: e.Reason, Service: e.Service, Route: e.Route,
		Idempotent: e.Idempotent, DeadlineMS: time.Duration(e.Deadline).Milliseconds(), Attempts: e.Attempts,
	}
	if bundle, ok := d.member.Snapshot().Bundle(e.Service); ok {
		result.Team = bundle.Service.Team
	}
	for _, version := range slices.Sorted(maps.Keys(e.Shares)) {
		result.Versions = append(result.Versions, admin.VersionShare{Version: version, Share: e.Shares[version]})
	}
	for _, t := range e.Targets {
		result.Targets = append(result.Targets, admin.TargetChoice{
			Name: t.Name, Domain: t.Domain, Version: t.Version, Slots: t.Slots,
			InUse: int(math.Round(t.Busy * float64(t.Slots))), Usable: t.Candidate, Reason: t.Reason,
		})
	}
	return result, nil
}
