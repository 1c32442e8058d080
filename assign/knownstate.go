package assign

import (
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/store"
)

// knownState is the newest state that a Core has received, whether or not this VM is
// assigner. The term, round, record and view are never replaced by lower ones.
type knownState struct {
	// newest is the newest record received from the store or any VM.
	newest *ownership.Record
	// inStore is the record that the store was last known to hold, nil if none; version is
	// its store version.
	inStore *ownership.Record
	version store.Version
	// storeAnswered is set once the store has answered, with or without a record.
	storeAnswered bool
	// view is the newest view published or received.
	view *ownership.View
	// term, round and candidatesVersion are the highest received.
	term              uint64
	round             uint32
	candidatesVersion uint64
}

// newer reports whether record a is newer than b. It returns true if b is nil.
func newer(a, b *ownership.Record) bool {
	if b == nil {
		return true
	}
	if a.TableVersion != b.TableVersion {
		return a.TableVersion > b.TableVersion
	}
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.CandidatesVersion > b.CandidatesVersion
}

func (k *knownState) raiseRound(term uint64, round uint32) {
	if term > k.term {
		k.term, k.round = term, round
		return
	}
	if term == k.term {
		k.round = max(k.round, round)
	}
}

// setStoreRecord records that the store holds rec under the given version. It reports
// whether the store was rolled back, that is, holds an older state than before.
func (k *knownState) setStoreRecord(rec *ownership.Record, version store.Version) (rolledBack bool) {
	rolledBack = k.inStore != nil && (rec.TableVersion < k.inStore.TableVersion || rec.Term < k.inStore.Term)
	k.inStore = rec
	k.version = version
	k.storeAnswered = true
	k.observeRecord(rec)
	return rolledBack
}

func (k *knownState) observeRecord(rec *ownership.Record) {
	k.raiseRound(rec.Term, 0)
	if newer(rec, k.newest) {
		k.newest = rec
	}
}

func (k *knownState) observeView(v *ownership.View) bool {
	k.raiseRound(v.Term, uint32(v.Seq>>roundShift))
	if k.view != nil && !k.view.Version().Less(v.Version()) {
		return false
	}
	k.view = v
	return true
}

// recordChanged handles a record delivered by a watch. Watch events may be late, so an
// older version than the one last read is not taken as the state of the store.
func (c *Core) recordChanged(ev RecordChanged) {
	if ev.Record == nil || ev.Version == c.known.version {
		return
	}
	if ev.Version < c.known.version {
		// The event is late, or the store was rolled back; an assigner reads the record to
		// find out.
		c.store.wantRead = c.store.wantRead || c.phase == assigning
		return
	}
	if c.store.write != nil {
		c.known.observeRecord(ev.Record)
		return
	}
	c.storeRecordRead(ev.Record, ev.Version)
}

func (c *Core) viewReceived(v *ownership.View) {
	if v == nil || v.Assigner == c.opts.Self {
		return
	}
	c.known.observeView(v)
}

func cloneRecord(r *ownership.Record) *ownership.Record {
	n := *r
	n.Candidates = append([]ownership.VMID(nil), r.Candidates...)
	n.Targets = append([]ownership.Target(nil), r.Targets...)
	n.Owners = append([]uint32(nil), r.Owners...)
	n.Pins = append([]ownership.Pin(nil), r.Pins...)
	n.Drained = append([]ownership.TargetID(nil), r.Drained...)
	return &n
}
