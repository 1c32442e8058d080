package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/peer"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/store/memstore"
)

const fuzzService = "s"

func mustMarshal(f *testing.F, m proto.Message) []byte {
	f.Helper()
	data, err := proto.Marshal(m)
	is.New(f).NoErr(err)
	return data
}

func newFuzzAgent() *Agent {
	return NewAgent(AgentOptions{
		VM: "vm1", Address: "127.0.0.1:1", Store: memstore.New(memstore.Options{}), Suspects: quarantine.New(quarantine.Options{VM: "vm1"}),
		Directory: fleet.NewDirectory(fleet.DirectoryOptions{}), Peers: peer.NewClient(peer.ClientOptions{VM: "vm1", Role: "test"}),
		Report: func() *pb.ShardReport { return &pb.ShardReport{} },
	})
}

// FuzzUpdate applies an update of another VM, on which the paths of requests rely from then on.
func FuzzUpdate(f *testing.F) {
	entries := []*pb.RangeEntry{{From: 0, To: 9, Target: "t1"}, {From: 10, To: 70_000, Target: "t2"}, {From: 9, To: 3, SharePermille: 5000}}
	f.Add(mustMarshal(f, &pb.ShardUpdate{Tables: []*pb.RangeTable{{Service: fuzzService, Term: 2, Seq: 1, Entries: entries}}}))
	f.Add(mustMarshal(f, &pb.ShardUpdate{Tables: []*pb.RangeTable{{Service: fuzzService, Term: 1, Seq: 2, BaseSeq: 1, Delta: true, Entries: entries}}}))
	f.Add(mustMarshal(f, &pb.ShardUpdate{
		Suspects: &pb.Quarantine{Suspects: []*pb.QuarantineSuspect{{Fingerprint: []byte{1}}, {Fingerprint: make([]byte, 16), ClearedMs: -1}}},
		Vms:      []string{""}, ConfirmedMsAgo: 1<<32 - 1, Beat: 1 << 63, Term: 1 << 63,
	}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var u pb.ShardUpdate
		if proto.Unmarshal(data, &u) != nil {
			return
		}
		a := newFuzzAgent()
		known := &Table{Version: Version{Term: 1, Seq: 1}, Entries: []Entry{{Keys: AllKeys, Owner: Holder{ID: "t1"}}}}
		a.publish(fuzzService, known)
		a.recordConfirmation(&u)
		a.applyUpdate(&u)
		for _, k := range []Key{AllKeys.From, 1, 9, 10, AllKeys.To} {
			if e := a.Table(fuzzService).Find(k); e != nil && (k < e.Keys.From || k > e.Keys.To) {
				t.Errorf("the entry for key %d has the keys %v", k, e.Keys)
			}
		}
	})
}

// FuzzReport applies a report of another VM to an assigner with one range, which must go on renewing it.
func FuzzReport(f *testing.F) {
	f.Add(mustMarshal(f, &pb.ShardReport{
		Loads:       []*pb.ServiceKeyLoad{{Service: fuzzService, Keys: []uint32{1, 70_000}, Counts: []uint32{1 << 31, 7}}, {Service: fuzzService, Keys: []uint32{1}}, {Service: "unknown"}},
		Unreachable: []string{"t1", ""},
		Targets: []*pb.TargetReport{
			{Target: "t1", Answers: 1 << 31, Failures: 1 << 31, ServiceMicros: 1<<32 - 1, AgeMs: 1<<32 - 1, Told: true, Load: 1 << 31, Limit: &pb.TargetLimit{PerSecond: -1, AgeMs: 1<<32 - 1}},
		},
	}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r pb.ShardReport
		if proto.Unmarshal(data, &r) != nil {
			return
		}
		a := newAssigner(t.Context(), newFuzzAgent(), 2, 0, predecessor{})
		defer a.stop(nil)
		record := &Record{Term: 1, NextFence: 1, Ranges: []RangeRecord{{Keys: AllKeys, Owner: Holder{ID: "t1", Address: "127.0.0.1:2"}}}}
		s := &serviceState{name: fuzzService, load: NewLoad(loadTimeConstant), leases: NewLeaseManager(LeaseOptions{}, 2, record, 0, 0)}
		a.services[fuzzService] = s
		a.applyReport(&r)
		a.changedTargets(time.Second)
		a.targets.all(time.Second)
		if n := len(s.leases.DueOrders(time.Second)); n != 1 {
			t.Errorf("%d of 1 renewals are due", n)
		}
	})
}

// FuzzDecodeRecord takes over the stored ranges of an earlier assigner.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"term":1,"next_fence":9,"ranges":[{"keys":{"from":0,"to":9},"owner":{"id":"t1","address":"a:1"}},{"keys":{"from":10,"to":65535},"owner":{},"formers":[{},{"id":"t1"}]}]}`))
	f.Add([]byte(`{"next_fence":18446744073709551615,"ranges":[{"keys":{"from":5,"to":5}}]}`))
	f.Add([]byte(`{"next_fence":1,"ranges":[null]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		for _, entry := range TableFromRecord(r).Entries {
			if found := TableFromRecord(r).Find(entry.Keys.From); found == nil || found.Keys != entry.Keys {
				t.Errorf("the range %v isn't found", entry.Keys)
			}
		}
		lm := NewLeaseManager(LeaseOptions{}, r.Term+1, r, 0, 0)
		lm.DueOrders(time.Minute)
		again, err := lm.Record().Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeRecord(again); err != nil {
			t.Errorf("the record that the next assigner writes: %v", err)
		}
	})
}
