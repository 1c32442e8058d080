package assign

import (
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/store"
)

const (
	// readTimeout is the time after which a read without a result counts as failed.
	readTimeout = 5 * time.Second
	// writeTimeout is the time after which the outcome of a write without a result counts as
	// unknown.
	writeTimeout = 5 * time.Second
	// retryMin and retryMax are the shortest and longest pause between attempts while the
	// store is failing.
	retryMin = 250 * time.Millisecond
	retryMax = 5 * time.Second
)

// pendingWrite is a conditional write whose final outcome is not known yet.
type pendingWrite struct {
	record   *ownership.Record
	expected store.Version
	nonce    string
	takeOver bool
	// term is the term in which the writer was assigner; zero for a take-over.
	term uint64
	// inFlight is set while a WriteDone is expected, until deadline.
	inFlight bool
	deadline time.Duration
	// outcomeUnknown is set once an unanswered attempt may have taken effect.
	outcomeUnknown bool
	// conflicted is set once the store refused an attempt with a version conflict.
	conflicted bool
	commands   []*command
}

// storeState is the state of reading and writing the record in the store.
type storeState struct {
	// readInFlight is set while a RecordRead is expected, until readDeadline.
	readInFlight bool
	readDeadline time.Duration
	readAt       time.Duration
	write        *pendingWrite
	// wantRead is set if a read is to be started. wantTakeOver is set if a take-over waits
	// for it.
	wantRead, wantTakeOver bool
	// forcedTakeOver is an operator's take-over command that waits for a read.
	forcedTakeOver *command
	// dirty is set if the wanted table has to be written to the store.
	dirty bool
	// retryAt is when a failed attempt is repeated, or farFuture.
	retryAt time.Duration
	backoff time.Duration
}

func (s *storeState) wake() time.Duration {
	wake := s.retryAt
	if s.readInFlight {
		wake = min(wake, s.readDeadline)
	}
	if s.write != nil && s.write.inFlight {
		wake = min(wake, s.write.deadline)
	}
	return wake
}

// scheduleRetry schedules the next attempt, after a pause that doubles with each failure.
func (s *storeState) scheduleRetry(now time.Duration) {
	s.backoff = min(max(2*s.backoff, retryMin), retryMax)
	s.retryAt = now + s.backoff
}

func (s *storeState) clearRetry() {
	s.backoff = 0
	s.retryAt = farFuture
}

// runStore starts the read or write that is due.
func (c *Core) runStore() {
	s := &c.store
	if s.readInFlight && c.now >= s.readDeadline {
		s.readInFlight = false
		s.scheduleRetry(c.now)
	}
	if w := s.write; w != nil && w.inFlight && c.now >= w.deadline {
		c.writeDone(WriteDone{Nonce: w.nonce, Err: store.ErrUnknown})
	}
	if c.now >= s.retryAt {
		s.retryAt = farFuture
		s.wantRead = true
	}
	if s.wantRead {
		c.startRead()
		return
	}
	if s.write == nil && !s.readInFlight && s.retryAt == farFuture && c.phase == assigning {
		c.writeTable()
	}
}

func (c *Core) startRead() {
	s := &c.store
	if s.readInFlight || (s.write != nil && s.write.inFlight) {
		return
	}
	if s.retryAt != farFuture && !s.wantTakeOver {
		return
	}
	s.wantRead = false
	s.readInFlight = true
	s.readAt = c.now
	s.readDeadline = c.now + readTimeout
	c.emit(ReadRecord{})
}

func (c *Core) recordRead(ev RecordRead) {
	if ev.FromPeer {
		if ev.Record != nil {
			c.known.observeRecord(ev.Record)
		}
		return
	}
	s := &c.store
	s.readInFlight = false
	switch {
	case errors.Is(ev.Err, store.ErrNotFound):
		s.clearRetry()
		c.recordMissing()
	case ev.Err != nil || ev.Record == nil:
		s.scheduleRetry(c.now)
		c.storeUnavailable()
		if s.forcedTakeOver != nil {
			c.answer(s.forcedTakeOver, result.StoreUnavailable, "the object API did not answer; nothing was changed", 0)
			s.forcedTakeOver = nil
		}
	default:
		s.clearRetry()
		c.storeRecordRead(ev.Record, ev.Version)
	}
}

// storeUnavailable continues a take-over that waits for the store without it, in the highest
// term seen.
func (c *Core) storeUnavailable() {
	c.store.wantTakeOver = false
	if c.phase == takingOver {
		c.register(c.highestTerm(), c.nextRound())
	}
}

// recordMissing handles a read that found no record. The record is created, also if the
// store has lost it.
func (c *Core) recordMissing() {
	c.known.inStore = nil
	c.known.version = 0
	c.known.storeAnswered = true
	if w := c.store.write; w != nil {
		if w.expected == 0 && !w.conflicted {
			c.sendWrite()
			return
		}
		c.store.write = nil
		c.refuseSuperseded(w)
	}
	if c.known.newest == nil {
		return
	}
	if c.store.forcedTakeOver != nil {
		c.writeForced()
		return
	}
	if c.phase == takingOver {
		c.writeTakeOver()
		return
	}
	c.store.dirty = true
}

// storeRecordRead handles the record that the store holds and continues the operation that
// waited for it.
func (c *Core) storeRecordRead(rec *ownership.Record, version store.Version) {
	if w := c.store.write; w != nil {
		c.readBack(w, rec, version)
		return
	}
	base := c.known.inStore
	rolledBack := c.known.setStoreRecord(rec, version)
	if c.store.forcedTakeOver != nil {
		c.writeForced()
		return
	}
	switch c.phase {
	case takingOver:
		c.writeTakeOver()
	case assigning:
		c.reconcile(base, rec, rolledBack)
	}
}

// readBack determines the outcome of a write whose answer was lost or that conflicted, by
// comparing its nonce with that of the record in the store.
func (c *Core) readBack(w *pendingWrite, rec *ownership.Record, version store.Version) {
	switch {
	case rec.Nonce == w.nonce:
		c.written(w, version)
	case version == w.expected && !w.conflicted:
		// The write may still be in transit. It is repeated on the same condition, so that at
		// most one of the two attempts takes effect.
		c.sendWrite()
	default:
		c.writeSuperseded(w, rec, version)
	}
}

func (c *Core) sendWrite() {
	w := c.store.write
	w.inFlight = true
	w.deadline = c.now + writeTimeout
	c.emit(WriteRecord{Record: w.record, Expected: w.expected, Nonce: w.nonce})
}

// writeSuperseded ends a write before which another write took effect.
func (c *Core) writeSuperseded(w *pendingWrite, rec *ownership.Record, version store.Version) {
	c.store.write = nil
	c.refuseSuperseded(w)
	if !w.takeOver {
		c.store.dirty = true
	}
	c.storeRecordRead(rec, version)
}

// writeTakeOver writes the record with the next term.
func (c *Core) writeTakeOver() {
	c.store.wantTakeOver = false
	rec := cloneRecord(c.known.newest)
	rec.Term = max(c.known.term, rec.Term) + 1
	if c.known.inStore != nil && newer(c.known.newest, c.known.inStore) {
		// The store was rolled back to an older state; the newer table is written again.
		rec.TableVersion++
	}
	c.startWrite(rec, &pendingWrite{takeOver: true})
}

// startWrite fills in the writer's fields of rec and starts its conditional write.
func (c *Core) startWrite(rec *ownership.Record, w *pendingWrite) {
	rec.Group = c.opts.Group
	rec.Assigner = c.opts.Self
	rec.Incarnation = c.opts.Incarnation
	rec.Nonce = c.newNonce()
	w.record = rec
	w.expected = c.known.version
	w.nonce = rec.Nonce
	c.store.write = w
	c.sendWrite()
}

// writeTable writes the wanted table with the waiting commands applied, if there is anything
// to write.
func (c *Core) writeTable() {
	if !c.store.dirty && !c.hasWaitingCommands() {
		return
	}
	if !c.known.storeAnswered {
		// The store's version of the record is not known yet, so it is read first.
		c.store.wantRead = true
		c.startRead()
		return
	}
	c.store.dirty = false
	rec := c.assigner.wantedRecord()
	w := &pendingWrite{term: c.term}
	for _, cmd := range c.waitingCommands() {
		if cmd.apply(c, rec) {
			w.commands = append(w.commands, cmd)
		}
	}
	rec.Term = max(c.term, c.known.term)
	rec.TableVersion = max(c.known.newest.TableVersion, rec.TableVersion) + 1
	c.startWrite(c.assigner.compact(c, rec), w)
}

func (c *Core) writeDone(ev WriteDone) {
	w := c.store.write
	if w == nil || w.nonce != ev.Nonce || !w.inFlight {
		return
	}
	w.inFlight = false
	switch {
	case ev.Err == nil:
		c.written(w, ev.Version)
	case errors.Is(ev.Err, store.ErrConflict):
		w.conflicted = true
		c.store.wantRead = true
	case errors.Is(ev.Err, store.ErrUnavailable) && !w.outcomeUnknown:
		c.writeRefused(w)
	case errors.Is(ev.Err, store.ErrTooLarge) && !w.outcomeUnknown:
		c.writeRefused(w)
	default:
		w.outcomeUnknown = w.outcomeUnknown || !errors.Is(ev.Err, store.ErrUnavailable)
		c.writeUnknown(w)
	}
}

// writeUnknown schedules a read that determines the outcome of the write, before anything
// else is written. A take-over continues without the store.
func (c *Core) writeUnknown(w *pendingWrite) {
	if c.store.backoff == 0 {
		c.store.backoff = retryMin
		c.store.wantRead = true
	} else {
		c.store.scheduleRetry(c.now)
	}
	if w.takeOver && c.phase == takingOver {
		c.register(c.highestTerm(), c.nextRound())
	}
}

// writeRefused ends a write that certainly did not take effect.
func (c *Core) writeRefused(w *pendingWrite) {
	c.store.write = nil
	c.store.scheduleRetry(c.now)
	c.refuseUnavailable(w.commands)
	if w.takeOver {
		c.storeUnavailable()
		return
	}
	c.store.dirty = true
}

// written handles the success of a write.
func (c *Core) written(w *pendingWrite, version store.Version) {
	c.store.write = nil
	c.store.clearRetry()
	c.known.setStoreRecord(w.record, version)
	if w.takeOver {
		c.tookOver(w)
		return
	}
	c.applyWritten(w)
	if c.phase == takingOver {
		c.writeTakeOver()
	}
}

// tookOver continues in the new term if this VM still has support.
func (c *Core) tookOver(w *pendingWrite) {
	switch c.phase {
	case takingOver:
		if w.record.Term < c.known.term {
			c.writeTakeOver()
			return
		}
		c.register(w.record.Term, 0)
	case registering, assigning:
		c.store.dirty = true
		c.changeTerm(w.record.Term)
	}
}

// applyWritten applies the commands of a write that succeeded and answers them.
func (c *Core) applyWritten(w *pendingWrite) {
	if c.assigner != nil && c.assigner.started {
		c.assigner.table.TableVersion = w.record.TableVersion
		for _, cmd := range w.commands {
			cmd.takeEffect(c)
		}
	}
	for _, cmd := range w.commands {
		c.succeed(cmd, w.record.TableVersion)
	}
}

// reconcile merges the record in the store into the wanted table after the store delivered a
// record that this VM did not write last. base is the record that the store was known to
// hold before, nil if none.
func (c *Core) reconcile(base, rec *ownership.Record, rolledBack bool) {
	if c.assigner == nil || !c.assigner.started {
		return
	}
	if !rolledBack && base != nil && rec.TableVersion > base.TableVersion {
		c.assigner.merge(c, base, rec)
	}
	if base == nil && newer(rec, c.assigner.table) {
		c.assigner.merge(c, c.assigner.wantedRecord(), rec)
	}
	if rec.Assigner != c.opts.Self || rec.Incarnation != c.opts.Incarnation || rolledBack {
		c.store.dirty = true
	}
	if rec.Term > c.term || rolledBack {
		c.writeTableInNewTerm()
	}
}

// writeTableInNewTerm writes the wanted table under a term higher than every one seen.
func (c *Core) writeTableInNewTerm() {
	rec := c.assigner.wantedRecord()
	rec.Term = c.known.term + 1
	rec.TableVersion = max(c.known.newest.TableVersion, rec.TableVersion) + 1
	rec.CandidatesVersion = max(rec.CandidatesVersion, c.known.newest.CandidatesVersion)
	c.assigner.table.TableVersion = rec.TableVersion
	c.store.dirty = false
	c.startWrite(c.assigner.compact(c, rec), &pendingWrite{takeOver: true})
}

// merge makes rec the wanted table, except that hashed slots whose owner is the same in base
// and rec keep the owner of the present wanted table.
func (a *assigner) merge(c *Core, base, rec *ownership.Record) {
	wantedBefore := a.table
	old := a.renumberKnown(base)
	a.adoptRecord(c, rec)
	for s := range a.table.Owners {
		if s < len(wantedBefore.Owners) && s < len(old.Owners) && a.table.Owners[s] == old.Owners[s] {
			a.table.Owners[s] = wantedBefore.Owners[s]
		}
	}
	for len(a.slots) < a.slotTotal() {
		a.slots = append(a.slots, slot{holder: noTarget, freeAt: 0, previousOwner: noTarget})
	}
	a.viewChanged = true
	a.queueAll()
}

// renumberKnown returns a copy of rec without targets, in which owners are indices of
// a.targets. An owner that is not among a.targets becomes ownership.NoOwner.
func (a *assigner) renumberKnown(rec *ownership.Record) *ownership.Record {
	known := *rec
	known.Targets = nil
	known.Owners = make([]uint32, len(rec.Owners))
	for i, o := range rec.Owners {
		known.Owners[i] = ownership.NoOwner
		if int64(o) >= int64(len(rec.Targets)) {
			continue
		}
		if k, ok := a.index[rec.Targets[o].ID]; ok {
			known.Owners[i] = uint32(k)
		}
	}
	return &known
}
