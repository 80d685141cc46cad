package aqowner

import (
	"context"

	"acaciaquay/pkg/aqmetric"
	"acaciaquay/pkg/aqpeer"
	"acaciaquay/pkg/aqscheduler"
	"acaciaquay/pkg/aqtype"
)

// Register adds the scheduler's methods to a peer server.
func (d *Daemon) Register(server *aqpeer.Server) {
	aqpeer.Handle(server, aqscheduler.MethodSubmit, d.submit)
	aqpeer.Handle(server, aqscheduler.MethodGet, d.get)
	aqpeer.Handle(server, aqscheduler.MethodList, d.list)
	aqpeer.Handle(server, aqscheduler.MethodCancel, d.cancel)
	aqpeer.Handle(server, aqscheduler.MethodTop, d.top)
	aqpeer.Handle(server, aqscheduler.MethodOffload, d.acceptOffload)
	aqpeer.Handle(server, aqscheduler.MethodReserveKey, d.reserveKey)
	aqpeer.Handle(server, aqscheduler.MethodReleaseKey, d.releaseKey)
}

func (d *Daemon) owned(id aqtype.ShardID) (*aqscheduler.Shard, error) {
	if shard := d.shard(id); shard != nil {
		return shard, nil
	}
	d.options.Metrics.Refused(aqmetric.RefusedNotOwner)
	return nil, aqpeer.Errorf(aqpeer.CodeNotOwner, "shard %d", id)
}

func (d *Daemon) submit(ctx context.Context, r aqscheduler.SubmitRequest) (aqscheduler.Status, error) {
	shard, err := d.owned(r.Shard)
	if err != nil {
		return aqscheduler.Status{}, err
	}
	spec, err := r.Spec.Unwrap()
	if err != nil {
		return aqscheduler.Status{}, aqpeer.Errorf(aqpeer.CodeInvalid, "%v", err)
	}
	return shard.Submit(ctx, spec)
}

func (d *Daemon) get(_ context.Context, r aqscheduler.WorkloadRequest) (aqscheduler.Status, error) {
	shard, err := d.owned(r.Shard)
	if err != nil {
		return aqscheduler.Status{}, err
	}
	return shard.Get(r.Key)
}

func (d *Daemon) list(_ context.Context, r aqscheduler.ListRequest) (aqscheduler.ListAnswer, error) {
	shard, err := d.owned(r.Shard)
	if err != nil {
		return aqscheduler.ListAnswer{}, err
	}
	return aqscheduler.ListAnswer{Statuses: shard.List(r.Team)}, nil
}

func (d *Daemon) cancel(ctx context.Context, r aqscheduler.WorkloadRequest) (aqscheduler.Status, error) {
	shard, err := d.owned(r.Shard)
	if err != nil {
		return aqscheduler.Status{}, err
	}
	return shard.Cancel(ctx, r.Key)
}

func (d *Daemon) top(_ context.Context, r aqscheduler.TopRequest) (aqscheduler.ShardTop, error) {
	shard, err := d.owned(r.Shard)
	if err != nil {
		return aqscheduler.ShardTop{}, err
	}
	return shard.Top(), nil
}

func (d *Daemon) reserveKey(ctx context.Context, r aqscheduler.KeyHolderRequest) (aqscheduler.KeyAnswer, error) {
	shard, err := d.owned(r.Shard)
	if err != nil {
		return aqscheduler.KeyAnswer{}, err
	}
	held, err := shard.ReserveKey(ctx, r.Key, r.Holder)
	return aqscheduler.KeyAnswer{Held: held}, err
}

func (d *Daemon) releaseKey(ctx context.Context, r aqscheduler.KeyHolderRequest) (aqscheduler.KeyAnswer, error) {
	shard, err := d.owned(r.Shard)
	if err != nil {
		return aqscheduler.KeyAnswer{}, err
	}
	return aqscheduler.KeyAnswer{}, shard.ReleaseKey(ctx, r.Key, r.Holder)
}
