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
	// listTimeout limits one list call.
	listTimeout = 2 * time.Second
	// watchTimeout limits one watch call.
	watchTimeout = 30 * time.Second
	// recordRetry is the pause after a failed get, list or watch.
	recordRetry = time.Second
)

// storedRecord is a group's record as the store held it at a version. The
// record must not be changed; it is nil if the value could not be decoded.
type storedRecord struct {
	record  *ownership.Record
	version store.Version
}

// cacheRecord stores the record of a group if it is newer than the cached one.
// The cached record answers requests of peers and determines which VMs are
// candidates.
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

// decodeStored decodes a value of the store. If that fails, it returns the
// error and a storedRecord without a record.
func decodeStored(value []byte, version store.Version) (storedRecord, error) {
	record, err := ownership.UnmarshalRecord(value)
	if err != nil {
		return storedRecord{version: version}, err
	}
	return storedRecord{record, version}, nil
}

// cachedRecord returns the newest record known of a group, or the zero value.
func (a *Assigner) cachedRecord(id ownership.GroupID) storedRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.records[id]
}

// updateSupporter raises the term and the candidate list version that the
// supporter knows, so that this VM supports no request based on an older record.
func (a *Assigner) updateSupporter(r *ownership.Record) {
	a.supporterMu.Lock()
	defer a.supporterMu.Unlock()
	a.supporter.UpdateKnown(r.Group, r.Term, r.CandidatesVersion)
}

// FollowRecords lists the groups' records and watches them for changes until
// the context ends; it always returns nil. Only the relay roots run it, because
// a waiting watch counts as a call of the store; other candidates read the
// record when they act.
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

// fetchIfUnknown starts a read of the record of a group for which another VM
// requests support, if this VM runs no core for the group: this VM may have
// become a candidate. It starts at most one read for each candidate list version.
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

// fetchFromStore reads a record and handles it. It retries until the store
// answers or the context ends.
func (a *Assigner) fetchFromStore(ctx context.Context, id ownership.GroupID) {
	for ctx.Err() == nil {
		object, err := a.opts.Store.Get(ctx, RecordPrefix+string(id))
		a.metrics.countStoreCall("get", err)
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

// listRecords reads and handles all groups' records. It returns the store
// version from which to watch.
func (a *Assigner) listRecords(ctx context.Context) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, version, err := a.opts.Store.List(ctx, RecordPrefix)
	a.metrics.countStoreCall("list", err)
	if err != nil {
		return 0, err
	}
	for _, object := range objects {
		a.handleStoredRecord(object)
	}
	return version, nil
}

// watchRecords waits up to watchTimeout for changes after a store version and
// handles the changed records. It returns the version from which to go on.
func (a *Assigner) watchRecords(ctx context.Context, after store.Version) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	events, err := a.opts.Store.Watch(ctx, RecordPrefix, after)
	a.metrics.countStoreCall("watch", err)
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

// handleStoredRecord decodes and caches a record read from the store, starts or
// updates cores accordingly and delivers the record to the group's core.
func (a *Assigner) handleStoredRecord(object store.Object) {
	id := ownership.GroupID(strings.TrimPrefix(object.Key, RecordPrefix))
	s, err := decodeStored(object.Value, object.Version)
	if err != nil {
		a.opts.Logger.Error("failed to decode group record", "group", id, "error", err)
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
