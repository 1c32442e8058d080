package assigner

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/store"
)

const (
	// listTimeout and watchTimeout bound one call each.
	listTimeout  = 2 * time.Second
	watchTimeout = 30 * time.Second
	// recordRetry is the pause after a failed list or watch.
	recordRetry = time.Second
)

// storedRecord is a group's record as the store held it at a version. The
// record is not changed any more; it is nil if the value could not be decoded.
type storedRecord struct {
	record  *ownership.Record
	version store.Version
}

// remember keeps the newest record of a group, to hand it on to peers and to
// learn which VMs are candidates.
func (a *Assigner) cacheRecord(id ownership.GroupID, s storedRecord) {
	a.mu.Lock()
	newer := s.version > a.records[id].version
	if newer {
		a.records[id] = s
	}
	a.mu.Unlock()
	if newer && s.record != nil {
		a.updateSupporter(s.record)
	}
}

// decodeStored decodes a value of the store; the record is nil if that fails.
func decodeStored(value []byte, version store.Version) (storedRecord, error) {
	record, err := ownership.UnmarshalRecord(value)
	if err != nil {
		return storedRecord{version: version}, err
	}
	return storedRecord{record, version}, nil
}

// stored returns the newest record known of a group.
func (a *Assigner) cachedRecord(id ownership.GroupID) storedRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.records[id]
}

// learnRecord keeps this VM from supporting anyone on the ground of an older record.
func (a *Assigner) updateSupporter(r *ownership.Record) {
	a.supporterMu.Lock()
	defer a.supporterMu.Unlock()
	a.supporter.Learn(r.Group, r.Term, r.CandidatesVersion)
}

// FollowRecords lists the groups' records and watches them for changes. Only
// the relay roots run it, since a waiting watch counts as a call; other
// candidates read the record when they act.
func (a *Assigner) FollowRecords(ctx context.Context) error {
	for ctx.Err() == nil {
		version, err := a.listRecords(ctx)
		for err == nil && ctx.Err() == nil {
			version, err = a.watchRecords(ctx, version)
		}
		select {
		case <-ctx.Done():
		case <-time.After(recordRetry):
		}
	}
	return nil
}

// learnIfUnknown reads the record of a group for which another VM asks this one
// for support, if this VM runs no core for it: it may have become a candidate.
func (a *Assigner) fetchIfUnknown(id ownership.GroupID, candidatesVersion uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.groups[id] != nil || a.ctx == nil || a.fetching[id] >= candidatesVersion {
		return
	}
	a.fetching[id] = candidatesVersion
	ctx := a.ctx
	a.wg.Go(func() { a.fetchFromStore(ctx, id) })
}

func (a *Assigner) fetchFromStore(ctx context.Context, id ownership.GroupID) {
	for ctx.Err() == nil {
		object, err := a.opts.Store.Get(ctx, RecordPrefix+string(id))
		a.metrics.storeCall("get", err)
		if err == nil {
			a.handleStoredRecord(object)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(recordRetry):
		}
	}
}

func (a *Assigner) listRecords(ctx context.Context) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, version, err := a.opts.Store.List(ctx, RecordPrefix)
	a.metrics.storeCall("list", err)
	if err != nil {
		return 0, err
	}
	for _, object := range objects {
		a.handleStoredRecord(object)
	}
	return version, nil
}

func (a *Assigner) watchRecords(ctx context.Context, after store.Version) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	events, err := a.opts.Store.Watch(ctx, RecordPrefix, after)
	a.metrics.storeCall("watch", err)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return after, err
	}
	for _, e := range events {
		after = max(after, e.Version)
		if !e.Deleted {
			a.handleStoredRecord(e.Object)
		}
	}
	return after, nil
}

func (a *Assigner) handleStoredRecord(object store.Object) {
	id := ownership.GroupID(strings.TrimPrefix(object.Key, RecordPrefix))
	s, err := decodeStored(object.Value, object.Version)
	if err != nil {
		a.opts.Logger.Error("record is damaged", "group", id, "error", err)
		return
	}
	a.cacheRecord(id, s)
	a.reconcile()
	a.mu.Lock()
	g := a.groups[id]
	a.mu.Unlock()
	if g != nil {
		g.deliver(assign.RecordChanged{Record: s.record, Version: s.version})
	}
}
