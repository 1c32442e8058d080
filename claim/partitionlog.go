package claim

import (
	"context"
	"crypto/rand"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
)

// Errors of a partitionLog.
var (
	// errConflict reports that another VM appended first; the state includes its batch.
	errConflict = errors.New("claim: another VM appended to the partition")
	// errUncertain reports that a batch may or may not be in the log.
	errUncertain = errors.New("claim: outcome of the append is unknown")
	// errIncomplete reports a list in which batches between the first and the last are missing.
	errIncomplete = errors.New("claim: the log has a gap")
)

// maxReads is the largest number of reads that check whether an append took effect, and of lists
// that load a log.
const maxReads = 4

// ringSlot is the last known content of one ring object.
type ringSlot struct {
	version store.Version
	batch   *pb.ClaimBatch
	bytes   int
}

// segment is an object with batches copied from the ring.
type segment struct {
	segmentKey
	// lastMS is the log time of its last batch, in Unix milliseconds.
	lastMS int64
}

// partitionLog reads and appends the log of one partition.
//
// The batch with sequence number n is written to ring slot n modulo the ring size, on
// condition that the slot still has the version of batch n minus the ring size.
// Versions never repeat and ring objects are never deleted, so the write of a VM whose
// known log is out of date fails, however old it is. Before a slot is overwritten,
// its batch is copied to a segment.
type partitionLog struct {
	index   int
	opts    *Options
	layout  *layoutChecker
	calls   *rate.Limiter
	metrics *Metrics

	// state is nil until the log has been loaded.
	state    *logState
	ring     []ringSlot
	segments []segment
	// archivedTo is the end of a segment that was written but that no batch refers to yet; zero if
	// there is none.
	archivedTo uint64
}

func newPartitionLog(index int, opts *Options, layout *layoutChecker, calls *rate.Limiter, m *Metrics) *partitionLog {
	return &partitionLog{index: index, opts: opts, layout: layout, calls: calls, metrics: m}
}

func (l *partitionLog) slotOf(seq uint64) int { return int(seq % uint64(l.opts.RingSlots)) }

// newBatch returns an empty batch that follows the known log.
func (l *partitionLog) newBatch() *pb.ClaimBatch {
	b := &pb.ClaimBatch{Nonce: make([]byte, nonceBytes)}
	rand.Read(b.Nonce) // Never fails.
	if l.state == nil {
		return b
	}
	b.Seq = l.state.next
	b.TimeMs = max(l.state.timeMS, l.opts.nowMS())
	b.HorizonMs = max(l.state.horizonMS, b.TimeMs-l.opts.Retention.Milliseconds())
	b.Archived = l.state.archived
	b.Trimmed = l.state.trimmed
	return b
}

// append writes the batch as the next one of the log and applies it. It returns
// errConflict if another batch has its sequence number, and errUncertain if it is
// unknown whether the batch is in the log.
func (l *partitionLog) append(ctx context.Context, b *pb.ClaimBatch) error {
	if err := l.archive(ctx); err != nil {
		return err
	}
	b.Archived = max(b.Archived, l.archivedTo)
	b.Trimmed = max(b.Trimmed, l.trimmable(b.HorizonMs))
	value := encode(b)
	err := l.put(ctx, b, value)
	l.metrics.observeAppend(b, err)
	return err
}

func (l *partitionLog) put(ctx context.Context, b *pb.ClaimBatch, value []byte) error {
	slot := l.slotOf(b.Seq)
	uncertain := false
	for range maxReads {
		version, err := l.putOnce(ctx, ringKey(l.index, slot), value, l.ring[slot].version)
		switch {
		case err == nil:
			l.apply(b, version, len(value))
			return nil
		case errors.Is(err, store.ErrUnavailable) && !uncertain:
			return err
		case errors.Is(err, store.ErrTooLarge):
			return err
		}
		uncertain = uncertain || !errors.Is(err, store.ErrConflict)
		err = l.sync(ctx)
		switch {
		case err != nil:
			return l.appendError(uncertain, err)
		case l.state.next == b.Seq:
			// The batch is not in the log, but a write without an answer may still take
			// effect. The same batch is written again on the same condition, so that only
			// one of the writes can succeed.
			continue
		case l.contains(b):
			return nil
		default:
			return errConflict
		}
	}
	return l.appendError(uncertain, errors.New("the batch is not in the log after the last read"))
}

func (l *partitionLog) appendError(uncertain bool, err error) error {
	if uncertain {
		return errors.WithMessage(errUncertain, err.Error())
	}
	return err
}

func (l *partitionLog) putOnce(ctx context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.WriteTimeout)
	defer cancel()
	if err := l.waitForCall(ctx, "put"); err != nil {
		return 0, err
	}
	return l.opts.Store.Put(ctx, key, value, expected)
}

// waitForCall waits until Options.StoreCallRate allows a store call, and counts the call. The error
// is store.ErrUnavailable if none is allowed before ctx ends.
func (l *partitionLog) waitForCall(ctx context.Context, call string) error {
	if l.calls.Wait(ctx) != nil {
		return errors.WithMessage(store.ErrUnavailable, "the limit of store calls per second is reached")
	}
	l.metrics.storeCalls.WithLabelValues(call).Inc()
	return nil
}

// contains reports whether the log has b itself, rather than another batch with its sequence number.
func (l *partitionLog) contains(b *pb.ClaimBatch) bool {
	known := l.ring[l.slotOf(b.Seq)].batch
	return known != nil && known.Seq == b.Seq && string(known.Nonce) == string(b.Nonce)
}

// apply advances the known log by the batch, whose object has the version and the size in bytes.
func (l *partitionLog) apply(b *pb.ClaimBatch, version store.Version, bytes int) {
	archived := l.state.archived
	l.state.apply(b)
	if l.state.archived > archived {
		l.addSegment(segmentKey{archived, l.state.archived})
		// The batch may refer to another VM's segment, which may end at another batch than
		// the segment written here.
		l.archivedTo = 0
	}
	l.ring[l.slotOf(b.Seq)] = ringSlot{version, b, bytes}
}

// addSegment records a segment that the log now refers to. It must be called while
// the ring still has the segment's batches.
func (l *partitionLog) addSegment(key segmentKey) {
	var lastMS int64
	if b := l.ring[l.slotOf(key.To-1)].batch; b != nil {
		lastMS = b.TimeMs
	}
	l.segments = append(l.segments, segment{key, lastMS})
}

// sync reads and applies the batches that other VMs appended, until there is no further one.
func (l *partitionLog) sync(ctx context.Context) error {
	for {
		slot := l.slotOf(l.state.next)
		object, err := l.get(ctx, ringKey(l.index, slot))
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		if object.Version == l.ring[slot].version {
			return nil
		}
		b, err := l.decodeNext(object)
		if err != nil {
			return err
		}
		if b == nil {
			return l.reload(ctx)
		}
		l.apply(b, object.Version, len(object.Value))
	}
}

// decodeNext decodes the ring object if it is the next batch. It returns a nil batch
// if this VM is more than a full ring behind, or if the store was rolled back.
func (l *partitionLog) decodeNext(object store.Object) (*pb.ClaimBatch, error) {
	if object.Version == 0 {
		return nil, nil
	}
	b, err := decodeBatch(object.Value)
	if err != nil || b.Seq != l.state.next {
		return nil, err
	}
	return b, nil
}

func (l *partitionLog) get(ctx context.Context, key string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.WriteTimeout)
	defer cancel()
	if err := l.waitForCall(ctx, "get"); err != nil {
		return store.Object{}, err
	}
	return l.opts.Store.Get(ctx, key)
}

// load reads the whole log unless it has been loaded, after checking the layout.
func (l *partitionLog) load(ctx context.Context) error {
	if l.state != nil {
		return nil
	}
	if err := l.layout.check(ctx); err != nil {
		return err
	}
	return l.reload(ctx)
}

// reload reads the whole log. A list may have older and newer objects mixed; if a
// batch is missing in it, the log is listed again.
func (l *partitionLog) reload(ctx context.Context) error {
	var err error
	for range maxReads {
		var image *logImage
		image, err = l.list(ctx)
		if err != nil {
			return err
		}
		var state *logState
		state, err = image.replay()
		if err == nil {
			l.replaceState(image, state)
			return nil
		}
	}
	l.metrics.gaps.Inc()
	return err
}

func (l *partitionLog) list(ctx context.Context) (*logImage, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.LoadTimeout)
	defer cancel()
	if err := l.waitForCall(ctx, "list"); err != nil {
		return nil, err
	}
	objects, _, err := l.opts.Store.List(ctx, partitionPrefix(l.index)+"/")
	if err != nil {
		return nil, err
	}
	return newLogImage(objects, l.opts.RingSlots)
}

// replaceState replaces the known log by the one just read. If that ends earlier than
// the known one, the store was rolled back: the claims known to this VM are kept in
// memory, so that their resends through this VM do not run.
func (l *partitionLog) replaceState(image *logImage, state *logState) {
	if l.state != nil && state.next < l.state.next {
		l.metrics.rollbacks.Inc()
		l.opts.Logger.Error("claim log in the store was rolled back", "partition", l.index,
			"known", l.state.next, "found", state.next)
		state.addMissing(l.state)
	}
	l.state = state
	l.ring = image.ring
	l.segments = image.segments
	l.archivedTo = 0
}

// archive copies batches from the ring to a segment once they fill half of the ring
// or a segment. A failed write of the segment is an error only if the ring is full.
func (l *partitionLog) archive(ctx context.Context) error {
	key, full := l.nextSegment()
	if !full || l.archivedTo != 0 {
		return l.checkRing()
	}
	_, err := l.putOnce(ctx, key.String(l.index), l.encodeSegment(key), 0)
	// Batches never change, so an existing object with this key has the same batches.
	if err == nil || errors.Is(err, store.ErrConflict) {
		l.archivedTo = key.To
	}
	return l.checkRing()
}

// checkRing returns an error if the next append would overwrite a batch that is in no segment.
func (l *partitionLog) checkRing() error {
	if l.state.next-max(l.state.archived, l.archivedTo) >= uint64(l.opts.RingSlots) {
		return errors.WithMessage(store.ErrUnavailable, "the ring of the claim log is full")
	}
	return nil
}

// nextSegment returns the key of the next segment with the batches known so far, and
// whether the segment is full, so that no further batch would be added to it.
func (l *partitionLog) nextSegment() (key segmentKey, full bool) {
	key = segmentKey{From: l.state.archived, To: l.state.archived}
	bytes := 0
	for key.To < l.state.next {
		bytes += l.ring[l.slotOf(key.To)].bytes
		if bytes > maxSegmentBytes {
			return key, true
		}
		key.To++
		if key.To-key.From >= uint64(l.opts.RingSlots/2) {
			return key, true
		}
	}
	return key, false
}

func (l *partitionLog) encodeSegment(key segmentKey) []byte {
	s := new(pb.ClaimSegment)
	for seq := key.From; seq < key.To; seq++ {
		s.Batches = append(s.Batches, l.ring[l.slotOf(seq)].batch)
	}
	return encode(s)
}

// trimmable returns the sequence number up to which all segments end before the horizon.
func (l *partitionLog) trimmable(horizonMS int64) uint64 {
	trimmed := l.state.trimmed
	for _, s := range l.segments {
		if s.From > trimmed || s.lastMS >= horizonMS {
			break
		}
		trimmed = max(trimmed, s.To)
	}
	return trimmed
}

// deleteTrimmed deletes the oldest segment if the log no longer needs it. A failure is retried by
// the next call.
func (l *partitionLog) deleteTrimmed(ctx context.Context) {
	if l.state == nil || len(l.segments) == 0 || l.segments[0].To > l.state.trimmed {
		return
	}
	key := l.segments[0].String(l.index)
	object, err := l.get(ctx, key)
	if err == nil {
		err = l.delete(ctx, key, object.Version)
	}
	if err == nil || errors.Is(err, store.ErrNotFound) {
		l.segments = l.segments[1:]
	}
}

func (l *partitionLog) delete(ctx context.Context, key string, version store.Version) error {
	ctx, cancel := context.WithTimeout(ctx, l.opts.WriteTimeout)
	defer cancel()
	if err := l.waitForCall(ctx, "delete"); err != nil {
		return err
	}
	return l.opts.Store.Delete(ctx, key, version)
}
