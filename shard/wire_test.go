package shard

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
	"github.com/basiltally/basiltally/store/relayfeed"
)

// randomTable returns a table that divides all keys at random among three owners.
func randomTable(rng *rand.Rand, seq uint64) *Table {
	t := &Table{Version: Version{1, seq}}
	from := 0
	for from <= int(LastKey) {
		to := min(from+1+rng.IntN(9000), int(LastKey))
		t.Entries = append(t.Entries, Entry{
			Keys: KeyRange{Key(from), Key(to)}, Owner: Holder{ID: string(rune('a' + rng.IntN(3)))}, Held: rng.IntN(2) == 0,
		})
		from = to + 1
	}
	return t
}

func TestDeltaRestoresTheTable(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	known := randomTable(rng, 1)
	for seq := uint64(2); seq < 500; seq++ {
		next := randomTable(rng, seq)
		got, ok := tableFromProto(deltaToProto("s", known, next), known, next.PublishedAt)
		is.True(ok)
		is.Equal(got, next)
		known = next
	}
}

// Each table once had all entries without a holder, since their waits had run down, and the tables filled the assigner's link.
func TestDeltaOmitsEntriesWhoseWaitHasRunDown(t *testing.T) {
	is := is.New(t)
	lm := NewLeaseManager(LeaseOptions{}, 1, nil, 0, 0)
	const ranges = 64
	var moves []Move
	for i := range ranges {
		id := fmt.Sprint("t", i)
		moves = append(moves, Move{KeyRange{Key(i * 1024), Key(i*1024 + 1023)}, Holder{ID: id, Address: id}})
	}
	lm.Propose(moves, 0)
	lm.FinishProposal(true)
	now := time.Duration(0)
	for range maxRenewalFailures {
		for _, o := range lm.DueOrders(now) {
			lm.HandleResult(Result{Order: o, Err: os.ErrDeadlineExceeded}, now+o.Timeout)
		}
		now += time.Second
	}
	first := lm.TakeTable(now)
	is.Equal(countHeld(first), 0)
	is.True(first.Entries[0].Wait > time.Second)
	lm.tableOutdated = true
	for passed := range 6 {
		next := lm.TakeTable(now + time.Duration(passed)*time.Second)
		m := deltaToProto("s", first, next)
		is.Equal(len(m.GetEntries()), 0)
		got, ok := tableFromProto(m, first, next.PublishedAt)
		is.True(ok)
		is.Equal(got, next)
		lm.tableOutdated = true
	}
}

func TestDeltaOnAnotherBaseIsRejected(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	base, next := randomTable(rng, 1), randomTable(rng, 2)
	m := deltaToProto("s", base, next)
	_, ok := tableFromProto(m, randomTable(rng, 5), 0)
	is.True(!ok)
	_, ok = tableFromProto(m, nil, 0)
	is.True(!ok)
}

// Changes of many entries must take a fraction of their size on the wire. Whatever is malformed makes the VM read
// the store and leaves no change out.
func TestLargeBatchIsSentCompressed(t *testing.T) {
	is := is.New(t)
	b := relayfeed.Batch{Prefix: "servers/", After: 7, At: 900}
	for i := range 809 {
		value := fmt.Sprintf(`{"address":"10.%d.64.%d:8503","born":17000000%05d,"info":{"service":"mipu93a","version":"v1","zone":"llanelli","slots":6},`+
			`"status":{"state":"ready","sequence":%d,"warmup_left":"0ms"}}`, i%9, i%250, i*7919%100000, i%13)
		b.Events = append(b.Events, store.Event{Object: store.Object{Key: fmt.Sprintf("servers/i-%010x", i*2654435761%(1<<40)), Value: []byte(value), Version: store.Version(8 + i)}})
	}
	m := batchToProto(b)
	plain, err := proto.Marshal(&pb.FeedBatch{Events: protoEvents(b)})
	is.NoErr(err)
	data, err := proto.Marshal(m)
	is.NoErr(err)
	t.Logf("%d bytes in place of %d", len(data), len(plain))
	is.True(len(data) < len(plain)/4)
	is.Equal(m.GetAfter(), m.GetAt()) // A VM that does not know the field reads the store.
	got, err := batchFromProto(m)
	is.NoErr(err)
	is.Equal(got, b)

	m.Packed = m.GetPacked()[:len(m.GetPacked())/2]
	got, err = batchFromProto(m)
	is.True(err != nil)
	is.Equal(got.After, got.At)
	is.Equal(len(got.Events), 0)
}

func protoEvents(b relayfeed.Batch) []*pb.FeedEvent {
	var out []*pb.FeedEvent
	for _, e := range b.Events {
		out = append(out, &pb.FeedEvent{Key: e.Key, Value: e.Value, Version: uint64(e.Version)})
	}
	return out
}

func FuzzBatchFromProto(f *testing.F) {
	f.Add([]byte{}, uint64(3))
	f.Add([]byte{1, 2, 3}, uint64(9))
	f.Fuzz(func(t *testing.T, packed []byte, at uint64) {
		b, err := batchFromProto(&pb.FeedBatch{Prefix: "servers/", After: at, At: at, Packed: packed})
		if err != nil && (b.After != b.At || len(b.Events) > 0) {
			t.Error("a malformed batch has changes")
		}
	})
}

// The tables that the assigner sends in a second must not grow with the number of VMs beyond what 80 of them get.
func TestTablesSentAreBounded(t *testing.T) {
	is := is.New(t)
	for _, vms := range []int{1, 12, 79, 80, 295, 4000} {
		sent := float64(vms) * float64(time.Second) / float64(tableInterval(vms))
		is.True(sent <= 2000)
		is.True(vms > 80 || tableInterval(vms) == minTableInterval)
	}
}
