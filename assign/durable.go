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
	// writeTimeout is the same for a write; its outcome is then unknown.
	writeTimeout = 5 * time.Second
	// retryMin and retryMax bound the pause between attempts at a store that is down.
	retryMin = 250 * time.Millisecond
	retryMax = 5 * time.Second
)

// pendingWrite is a conditional write whose outcome is not settled.
type pendingWrite struct {
	record   *ownership.Record
	expected store.Version
	nonce    string
	takeOver bool
	// term is the term in which the writer acted; zero for a take-over.
	term uint64
	// sent is set while a WriteDone is due, before deadline.
	sent     bool
	deadline time.Duration
	// unknown is set once an attempt may have taken effect without an answer.
	unknown bool
	// conflicted is set once the store refused the version.
	conflicted bool
	commands   []*command
}

// durable is the state of reading and writing the record.
type durable struct {
	// reading is set while a RecordRead is due, before readDeadline.
	reading      bool
	readDeadline time.Duration
	readAt       time.Duration
	write        *pendingWrite
	// wantRead asks for a read, wantTakeOver for a take-over after it.
	wantRead, wantTakeOver bool
	// forced is a take-over by an operator that waits for a read.
	forced *command
	// dirty is set if the wanted table differs from the record in the store.
	dirty bool
	// retryAt is when a failed attempt is repeated, or never.
	retryAt time.Duration
	backoff time.Duration
}

func (d *durable) wake() time.Duration {
	wake := d.retryAt
	if d.reading {
		wake = min(wake, d.readDeadline)
	}
	if d.write != nil && d.write.sent {
		wake = min(wake, d.write.deadline)
	}
	return wake
}

// failed arranges a later attempt.
func (d *durable) failed(now time.Duration) {
	d.backoff = min(max(2*d.backoff, retryMin), retryMax)
	d.retryAt = now + d.backoff
}

func (d *durable) succeeded() {
	d.backoff = 0
	d.retryAt = never
}

// runStore starts the read or write that is due.
func (c *Core) runStore() {
	d := &c.store
	if d.reading && c.now >= d.readDeadline {
		d.reading = false
		d.failed(c.now)
	}
	if w := d.write; w != nil && w.sent && c.now >= w.deadline {
		c.writeDone(WriteDone{Nonce: w.nonce, Err: store.ErrUnknown})
	}
	if c.now >= d.retryAt {
		d.retryAt = never
		d.wantRead = true
	}
	if d.wantRead {
		c.read()
		return
	}
	if d.write == nil && !d.reading && d.retryAt == never && c.phase == leading {
		c.writeTable()
	}
}

func (c *Core) read() {
	d := &c.store
	if d.reading || (d.write != nil && d.write.sent) {
		return
	}
	if d.retryAt != never && !d.wantTakeOver {
		return
	}
	d.wantRead = false
	d.reading = true
	d.readAt = c.now
	d.readDeadline = c.now + readTimeout
	c.emit(ReadRecord{})
}

func (c *Core) recordRead(ev RecordRead) {
	if ev.FromPeer {
		if ev.Record != nil {
			c.known.learn(ev.Record)
		}
		return
	}
	d := &c.store
	d.reading = false
	switch {
	case errors.Is(ev.Err, store.ErrNotFound):
		d.succeeded()
		c.recordMissing()
	case ev.Err != nil || ev.Record == nil:
		d.failed(c.now)
		c.storeUnavailable()
		if d.forced != nil {
			c.answer(d.forced, result.StoreUnavailable, "the object API did not answer; nothing was changed", 0)
			d.forced = nil
		}
	default:
		d.succeeded()
		c.takeInRecord(ev.Record, ev.Version)
	}
}

// storeUnavailable goes on in the present term if a take-over waits for the store.
func (c *Core) storeUnavailable() {
	c.store.wantTakeOver = false
	if c.phase == takingOver {
		c.register(c.highestTerm(), c.nextRound())
	}
}

// recordMissing creates the record, also after the store lost it.
func (c *Core) recordMissing() {
	c.known.inStore = nil
	c.known.version = 0
	c.known.storeSeen = true
	if w := c.store.write; w != nil {
		if w.expected == 0 && !w.conflicted {
			c.resend()
			return
		}
		c.store.write = nil
		c.refuseLost(w)
	}
	if c.known.best == nil {
		return
	}
	if c.store.forced != nil {
		c.writeForced()
		return
	}
	if c.phase == takingOver {
		c.writeTakeOver()
		return
	}
	c.store.dirty = true
}

// takeInRecord takes in the store's record and continues what waited for it.
func (c *Core) takeInRecord(rec *ownership.Record, version store.Version) {
	if w := c.store.write; w != nil {
		c.readBack(w, rec, version)
		return
	}
	base := c.known.inStore
	wentBack := c.known.readFromStore(rec, version)
	if c.store.forced != nil {
		c.writeForced()
		return
	}
	switch c.phase {
	case takingOver:
		c.writeTakeOver()
	case leading:
		c.reconcile(base, rec, wentBack)
	}
}

// readBack settles a write whose answer was lost or that conflicted, by its nonce.
func (c *Core) readBack(w *pendingWrite, rec *ownership.Record, version store.Version) {
	switch {
	case rec.Nonce == w.nonce:
		c.written(w, version)
	case version == w.expected && !w.conflicted:
		// The write may still be on its way. Repeating it under the same version
		// settles which of the two takes effect.
		c.resend()
	default:
		c.writeLost(w, rec, version)
	}
}

func (c *Core) resend() {
	w := c.store.write
	w.sent = true
	w.deadline = c.now + writeTimeout
	c.emit(WriteRecord{Record: w.record, Expected: w.expected, Nonce: w.nonce})
}

// writeLost ends a write that another one forestalled.
func (c *Core) writeLost(w *pendingWrite, rec *ownership.Record, version store.Version) {
	c.store.write = nil
	c.refuseLost(w)
	if !w.takeOver {
		c.store.dirty = true
	}
	c.takeInRecord(rec, version)
}

// writeTakeOver writes the record with the next term.
func (c *Core) writeTakeOver() {
	c.store.wantTakeOver = false
	rec := cloneRecord(c.known.best)
	rec.Term = max(c.known.term, rec.Term) + 1
	if c.known.inStore != nil && newer(c.known.best, c.known.inStore) {
		// The store went back to an older state: it is brought forward again.
		rec.TableVersion++
	}
	c.put(rec, &pendingWrite{takeOver: true})
}

// put sends a conditional write of rec.
func (c *Core) put(rec *ownership.Record, w *pendingWrite) {
	rec.Group = c.opts.Group
	rec.Assigner = c.opts.Self
	rec.Incarnation = c.opts.Incarnation
	rec.Nonce = c.nonce()
	w.record = rec
	w.expected = c.known.version
	w.nonce = rec.Nonce
	c.store.write = w
	c.resend()
}

// writeTable writes the wanted table with the commands that wait for it.
func (c *Core) writeTable() {
	if !c.store.dirty && !c.commandsWaiting() {
		return
	}
	if !c.known.storeSeen {
		// Nothing is known of the store; a read comes first.
		c.store.wantRead = true
		c.read()
		return
	}
	c.store.dirty = false
	rec := c.lead.record()
	w := &pendingWrite{term: c.term}
	for _, cmd := range c.takeWaiting() {
		if cmd.apply(c, rec) {
			w.commands = append(w.commands, cmd)
		}
	}
	rec.Term = max(c.term, c.known.term)
	rec.TableVersion = max(c.known.best.TableVersion, rec.TableVersion) + 1
	c.put(c.lead.compact(c, rec), w)
}

func (c *Core) writeDone(ev WriteDone) {
	w := c.store.write
	if w == nil || w.nonce != ev.Nonce || !w.sent {
		return
	}
	w.sent = false
	switch {
	case ev.Err == nil:
		c.written(w, ev.Version)
	case errors.Is(ev.Err, store.ErrConflict):
		w.conflicted = true
		c.store.wantRead = true
	case errors.Is(ev.Err, store.ErrUnavailable) && !w.unknown:
		c.writeRefused(w)
	case errors.Is(ev.Err, store.ErrTooLarge) && !w.unknown:
		c.writeRefused(w)
	default:
		w.unknown = w.unknown || !errors.Is(ev.Err, store.ErrUnavailable)
		c.writeUnknown(w)
	}
}

// writeUnknown reads back before anything else is written.
func (c *Core) writeUnknown(w *pendingWrite) {
	if c.store.backoff == 0 {
		c.store.backoff = retryMin
		c.store.wantRead = true
	} else {
		c.store.failed(c.now)
	}
	if w.takeOver && c.phase == takingOver {
		c.register(c.highestTerm(), c.nextRound())
	}
}

// writeRefused ends a write that certainly was not done.
func (c *Core) writeRefused(w *pendingWrite) {
	c.store.write = nil
	c.store.failed(c.now)
	c.refuseUnavailable(w.commands)
	if w.takeOver {
		c.storeUnavailable()
		return
	}
	c.store.dirty = true
}

// written takes in the success of a write.
func (c *Core) written(w *pendingWrite, version store.Version) {
	c.store.write = nil
	c.store.succeeded()
	c.known.readFromStore(w.record, version)
	if w.takeOver {
		c.tookOver(w)
		return
	}
	c.applyWritten(w)
	if c.phase == takingOver {
		c.writeTakeOver()
	}
}

// tookOver goes on in the new term if this VM still has support.
func (c *Core) tookOver(w *pendingWrite) {
	switch c.phase {
	case takingOver:
		if w.record.Term < c.known.term {
			c.writeTakeOver()
			return
		}
		c.register(w.record.Term, 0)
	case registering, leading:
		c.store.dirty = true
		c.changeTerm(w.record.Term)
	}
}

// applyWritten puts commands that are now durable into effect.
func (c *Core) applyWritten(w *pendingWrite) {
	if c.lead != nil && c.lead.started {
		c.lead.table.TableVersion = w.record.TableVersion
		for _, cmd := range w.commands {
			cmd.effect(c)
		}
	}
	for _, cmd := range w.commands {
		c.done(cmd, w.record.TableVersion)
	}
}

// reconcile brings the wanted table and the record in the store together after
// a read that found something else than was last written. base is what the
// store was known to hold before.
func (c *Core) reconcile(base, rec *ownership.Record, wentBack bool) {
	if c.lead == nil || !c.lead.started {
		return
	}
	if !wentBack && base != nil && rec.TableVersion > base.TableVersion {
		c.lead.merge(c, base, rec)
	}
	if base == nil && newer(rec, c.lead.table) {
		c.lead.merge(c, c.lead.record(), rec)
	}
	if rec.Assigner != c.opts.Self || rec.Incarnation != c.opts.Incarnation || wentBack {
		c.store.dirty = true
	}
	if rec.Term > c.term || wentBack {
		c.writeTakeOverFrom()
	}
}

// writeTakeOverFrom writes the wanted table under a term above every one seen.
func (c *Core) writeTakeOverFrom() {
	rec := c.lead.record()
	rec.Term = c.known.term + 1
	rec.TableVersion = max(c.known.best.TableVersion, rec.TableVersion) + 1
	rec.CandidatesVersion = max(rec.CandidatesVersion, c.known.best.CandidatesVersion)
	c.lead.table.TableVersion = rec.TableVersion
	c.store.dirty = false
	c.put(c.lead.compact(c, rec), &pendingWrite{takeOver: true})
}

// merge adopts what changed in the store between base and rec; what did not
// change there stays as this assigner wants it.
func (l *leader) merge(c *Core, base, rec *ownership.Record) {
	mine := l.table
	old := l.renumberKnown(base)
	l.adopt(c, rec)
	for s := range l.table.Owners {
		if s < len(mine.Owners) && s < len(old.Owners) && l.table.Owners[s] == old.Owners[s] {
			l.table.Owners[s] = mine.Owners[s]
		}
	}
	for len(l.slots) < l.slotTotal() {
		l.slots = append(l.slots, slot{holder: none, freeAt: 0, same: none})
	}
	l.viewChanged = true
	l.queueAll()
}

// renumberKnown is renumber for a record whose targets may be unknown.
func (l *leader) renumberKnown(rec *ownership.Record) *ownership.Record {
	known := *rec
	known.Targets = nil
	known.Owners = make([]uint32, len(rec.Owners))
	for i, o := range rec.Owners {
		known.Owners[i] = ownership.NoOwner
		if int64(o) >= int64(len(rec.Targets)) {
			continue
		}
		if k, ok := l.index[rec.Targets[o].ID]; ok {
			known.Owners[i] = uint32(k)
		}
	}
	return &known
}
