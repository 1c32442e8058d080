package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/relayfeed"
)

func tableToProto(service string, t *Table) *pb.RangeTable {
	return &pb.RangeTable{Service: service, Term: t.Version.Term, Seq: t.Version.Seq, Entries: entriesToProto(t.Entries)}
}

// deltaToProto describes a table by its difference to an older one of the same term.
func deltaToProto(service string, base, t *Table) *pb.RangeTable {
	known := make(map[Entry]bool, len(base.Entries))
	for _, e := range base.Entries {
		known[e] = true
	}
	var changed []Entry
	for _, e := range t.Entries {
		if !known[e] {
			changed = append(changed, e)
		}
	}
	return &pb.RangeTable{
		Service: service, Term: t.Version.Term, Seq: t.Version.Seq, Entries: entriesToProto(changed),
		Delta: true, BaseSeq: base.Version.Seq,
	}
}

func entriesToProto(entries []Entry) []*pb.RangeEntry {
	out := make([]*pb.RangeEntry, len(entries))
	for i, e := range entries {
		out[i] = &pb.RangeEntry{
			From: uint32(e.Keys.From), To: uint32(e.Keys.To), Target: e.Owner.ID, Address: e.Owner.Address,
			Born: e.Owner.Born, Held: e.Held, WaitMs: uint32(max(e.Wait, 0).Milliseconds()),
		}
	}
	return out
}

func entriesFromProto(m []*pb.RangeEntry) []Entry {
	out := make([]Entry, len(m))
	for i, e := range m {
		out[i] = Entry{
			Keys:  KeyRange{Key(e.GetFrom()), Key(e.GetTo())},
			Owner: Holder{ID: e.GetTarget(), Address: e.GetAddress(), Born: e.GetBorn()},
			Held:  e.GetHeld(),
			Wait:  time.Duration(e.GetWaitMs()) * time.Millisecond,
		}
	}
	return out
}

// tableFromProto returns the table that a message describes, given the one that is
// known, which may be nil. It returns false if the message builds on another one.
func tableFromProto(m *pb.RangeTable, known *Table) (*Table, bool) {
	t := &Table{Version: Version{m.GetTerm(), m.GetSeq()}, Entries: entriesFromProto(m.GetEntries())}
	if !m.GetDelta() {
		return t, true
	}
	if known == nil || known.Version != (Version{m.GetTerm(), m.GetBaseSeq()}) {
		return nil, false
	}
	t.Entries = patch(known.Entries, t.Entries)
	return t, true
}

// patch replaces the entries that share keys with changed ones. Both are in key order.
func patch(entries, changed []Entry) []Entry {
	out := make([]Entry, 0, len(entries)+len(changed))
	out = append(out, changed...)
	next := 0
	for _, e := range entries {
		for next < len(changed) && changed[next].Keys.To < e.Keys.From {
			next++
		}
		if next == len(changed) || !changed[next].Keys.Overlaps(e.Keys) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Keys.From, b.Keys.From) })
	return out
}

func batchToProto(b relayfeed.Batch) *pb.FeedBatch {
	m := &pb.FeedBatch{Prefix: b.Prefix, After: uint64(b.After), At: uint64(b.At), Reset_: b.Reset}
	for _, e := range b.Events {
		m.Events = append(m.Events, &pb.FeedEvent{Key: e.Key, Value: e.Value, Version: uint64(e.Version), Deleted: e.Deleted})
	}
	return m
}

func batchFromProto(m *pb.FeedBatch) relayfeed.Batch {
	b := relayfeed.Batch{
		Prefix: m.GetPrefix(), After: store.Version(m.GetAfter()), At: store.Version(m.GetAt()), Reset: m.GetReset_(),
	}
	for _, e := range m.GetEvents() {
		b.Events = append(b.Events, store.Event{
			Object:  store.Object{Key: e.GetKey(), Value: e.GetValue(), Version: store.Version(e.GetVersion())},
			Deleted: e.GetDeleted(),
		})
	}
	return b
}
