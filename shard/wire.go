package shard

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/relayfeed"
)

func tableToProto(service string, t *Table) *pb.RangeTable {
	return &pb.RangeTable{Service: service, Term: t.Version.Term, Seq: t.Version.Seq, Entries: entriesToProto(t.Entries)}
}

// deltaToProto returns a message with the difference of a table to base, an older table of
// the same term. An entry of which only the wait has run down is no difference: else each table would
// have all entries without a holder.
func deltaToProto(service string, base, t *Table) *pb.RangeTable {
	known := make(map[Entry]bool, len(base.Entries))
	for _, e := range base.Entries {
		e.Wait = e.waitAt(t.PublishedAt - base.PublishedAt)
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
			Born: e.Owner.Born, Held: e.Held, WaitMs: uint32(max(e.Wait, 0).Milliseconds()), SharePermille: uint32(e.Share),
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
			Share: int(min(e.GetSharePermille(), WholeShare)),
		}
	}
	return out
}

// tableFromProto returns the table that a message describes. If the message holds only a
// difference, it applies to the known table; tableFromProto returns false if known is nil
// or is not the table on which the difference is based. The table is published at the instant now.
func tableFromProto(m *pb.RangeTable, known *Table, now time.Duration) (*Table, bool) {
	t := &Table{Version: Version{m.GetTerm(), m.GetSeq()}, PublishedAt: now, Entries: entriesFromProto(m.GetEntries())}
	if !m.GetDelta() {
		return t, true
	}
	if known == nil || known.Version != (Version{m.GetTerm(), m.GetBaseSeq()}) {
		return nil, false
	}
	t.Entries = patch(known.Entries, t.Entries, now-known.PublishedAt)
	return t, true
}

// patch returns the entries with those replaced that overlap changed ones. The given time has passed since the
// entries were published. Both arguments and the result are sorted by key.
func patch(entries, changed []Entry, passed time.Duration) []Entry {
	out := make([]Entry, 0, len(entries)+len(changed))
	out = append(out, changed...)
	next := 0
	for _, e := range entries {
		for next < len(changed) && changed[next].Keys.To < e.Keys.From {
			next++
		}
		if next == len(changed) || !changed[next].Keys.Overlaps(e.Keys) {
			e.Wait = e.waitAt(passed)
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Keys.From, b.Keys.From) })
	return out
}

// packFromBytes is the size of a batch's values from which its events are sent compressed. Entries of
// targets are alike, so that they shrink to a fraction.
const packFromBytes = 2 << 10

// maxUnpackedBytes bounds the size of the events that are unpacked.
const maxUnpackedBytes = 8 << 20

func batchToProto(b relayfeed.Batch) *pb.FeedBatch {
	m := &pb.FeedBatch{Prefix: b.Prefix, After: uint64(b.After), At: uint64(b.At), Reset_: b.Reset}
	size := 0
	for _, e := range b.Events {
		size += len(e.Value)
		m.Events = append(m.Events, &pb.FeedEvent{Key: e.Key, Value: e.Value, Version: uint64(e.Version), Deleted: e.Deleted})
	}
	if size < packFromBytes {
		return m
	}
	packed, err := packEvents(m.Events)
	if err != nil {
		return m // Sent as it is.
	}
	m.Packed, m.PackedAfter, m.After, m.Events = packed, m.After, m.At, nil
	return m
}

// packEvents returns the compressed events.
func packEvents(events []*pb.FeedEvent) ([]byte, error) {
	data, err := proto.Marshal(&pb.FeedEvents{Events: events})
	if err != nil {
		return nil, errors.Wrap(err, "encode changes of the store")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress changes of the store")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress changes of the store")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress changes of the store")
	}
	return out.Bytes(), nil
}

// unpackEvents is the reverse of packEvents.
func unpackEvents(packed []byte) ([]*pb.FeedEvent, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress changes of the store")
	}
	if len(data) > maxUnpackedBytes {
		return nil, errors.New("changes of the store are too large")
	}
	var m pb.FeedEvents
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, errors.Wrap(err, "decode changes of the store")
	}
	return m.GetEvents(), nil
}

// batchFromProto returns the batch. With an error, the batch begins at its end, so that the VM reads
// the changes from the store.
func batchFromProto(m *pb.FeedBatch) (relayfeed.Batch, error) {
	b := relayfeed.Batch{
		Prefix: m.GetPrefix(), After: store.Version(m.GetAfter()), At: store.Version(m.GetAt()), Reset: m.GetReset_(),
	}
	events := m.GetEvents()
	if len(m.GetPacked()) > 0 {
		var err error
		if events, err = unpackEvents(m.GetPacked()); err != nil {
			return b, err
		}
		b.After = store.Version(m.GetPackedAfter())
	}
	for _, e := range events {
		b.Events = append(b.Events, store.Event{
			Object:  store.Object{Key: e.GetKey(), Value: e.GetValue(), Version: store.Version(e.GetVersion())},
			Deleted: e.GetDeleted(),
		})
	}
	return b, nil
}
