package shard

import (
	"context"
	"encoding/json"
	mathrand "math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/store"
)

// SuspectsKey is the store key of the requests that crash targets, so that they are known after all VMs have
// lost their memory.
const SuspectsKey = "basiltally-quarantine/requests"

// suspectsInterval is the least time between two writes of SuspectsKey.
const suspectsInterval = time.Second

const (
	// suspectsPause is the pause between two looks at whether suspects have to be sent to the other VMs directly.
	suspectsPause = 250 * time.Millisecond
	// maxSuspectsPeers bounds the VMs to which suspects are sent directly.
	maxSuspectsPeers = 24
	// newSuspectsAge is the age up to which suspects are sent at once. Older ones, which the lost assigner knew, are
	// sent only if there is none for resendSuspectsAfter: a successor mostly asks for them before.
	newSuspectsAge      = 10 * time.Second
	resendSuspectsAfter = 5 * time.Second
)

// suspectsSender decides when a VM sends the requests that crash targets to the other VMs itself, since there is no
// assigner that passes them on. The zero value has sent none.
type suspectsSender struct {
	// handled is the version of this VM's suspects that needs no sending, and seen the latest one, since seenAt.
	handled, seen uint64
	seenAt        time.Duration
	// lostAt is since when there is no assigner, or zero.
	lostAt time.Duration
	resent bool
}

// step returns the age of the suspects to send now; zero to send none. version is that of this VM's own suspects.
func (s *suspectsSender) step(now time.Duration, version uint64, assigner bool) time.Duration {
	if version != s.seen {
		s.seen, s.seenAt = version, now
	}
	if assigner {
		s.lostAt, s.resent = 0, false
		// An assigner that was lost without notice has not passed on what was reported to it since.
		if now-s.seenAt > assignerTimeout+suspectsPause {
			s.handled = version
		}
		return 0
	}
	if s.lostAt == 0 {
		s.lostAt = now
	}
	if !s.resent && now-s.lostAt > resendSuspectsAfter {
		s.resent, s.handled = true, version
		return suspectAge
	}
	if s.handled == version {
		return 0
	}
	s.handled = version
	return newSuspectsAge
}

// sendSuspects sends the requests that crash targets to the other VMs while there is no assigner that passes them on,
// until the context ends.
func (a *Agent) sendSuspects(ctx context.Context) {
	var sender suspectsSender
	for pause(ctx, suspectsPause); ctx.Err() == nil; pause(ctx, suspectsPause) {
		a.mu.Lock()
		assigner := a.active != nil || a.following != ""
		a.mu.Unlock()
		age := sender.step(boottime.Now(), a.opts.Suspects.OwnVersion(), assigner)
		if age == 0 {
			continue
		}
		recent := a.opts.Suspects.Recent(age)
		if len(recent.GetSuspects()) == 0 {
			continue
		}
		peers := a.otherVMs()
		mathrand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:min(len(peers), maxSuspectsPeers)]
		a.opts.Logger.Info("no assigner: sending the requests that crash targets to other VMs", "requests", len(recent.GetSuspects()),
			"age_ms", age.Milliseconds(), "vms", len(peers))
		a.tell(ctx, peers, &pb.ShardUpdate{Suspects: recent})
	}
}

// storedSuspects is the value of SuspectsKey.
type storedSuspects struct {
	// Record is an encoded pb.Quarantine.
	Record []byte `json:"record"`
}

// suspectsKeeper keeps the requests that crash targets in the store while this VM is the assigner.
type suspectsKeeper struct {
	agent   *Agent
	tracker *quarantine.Tracker
	version store.Version
	// read is set once the stored requests are known, and saved is the version of the tracker's list that
	// is stored.
	read  bool
	saved uint64
	// era is the store's latest era that this VM has seen. What was stored in an earlier one may be gone.
	era store.Era
}

// run keeps the requests until the context ends.
func (k *suspectsKeeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := k.step(ctx); err != nil && ctx.Err() == nil {
			k.agent.opts.Logger.Warn("could not keep the requests that crash targets", "error", err.Error())
		}
		pause(ctx, suspectsInterval)
	}
}

// step reads the stored requests if it has not yet, and writes the list if it has changed. It does both again once the store
// has come back from an older copy.
func (k *suspectsKeeper) step(ctx context.Context) error {
	if feed := k.agent.opts.Feed; feed != nil && feed.Era() > k.era {
		k.read, k.saved, k.era = false, 0, feed.Era()
	}
	if !k.read {
		if err := k.load(ctx); err != nil {
			return err
		}
		k.read = true
	}
	if k.tracker.ListedVersion() == k.saved {
		return nil
	}
	record, version := k.tracker.Listed()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode the requests that crash targets")
	}
	value, err := json.Marshal(storedSuspects{Record: data})
	if err != nil {
		return errors.Wrap(err, "encode the requests that crash targets")
	}
	written, err := putOnce(ctx, k.agent.opts.Store, SuspectsKey, value, k.version)
	if err != nil {
		k.read = false // Another assigner may have written, or this write may have been done.
		return err
	}
	k.version, k.saved = written, version
	return nil
}

// load merges the stored requests into the tracker.
func (k *suspectsKeeper) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	obj, err := k.agent.opts.Store.Get(ctx, SuspectsKey)
	if errors.Is(err, store.ErrNotFound) {
		k.version = 0
		return nil
	}
	if err != nil {
		return err
	}
	k.version = obj.Version
	record, err := decodeSuspects(obj.Value)
	if err != nil {
		// The next write replaces it.
		k.agent.opts.Logger.Error("the stored requests that crash targets are malformed", "revision", obj.Version, "error", err.Error())
		return nil
	}
	k.tracker.Merge(record)
	return nil
}

func decodeSuspects(value []byte) (*pb.Quarantine, error) {
	var stored storedSuspects
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, errors.Wrap(err, "decode the value")
	}
	record := &pb.Quarantine{}
	if err := proto.Unmarshal(stored.Record, record); err != nil {
		return nil, errors.Wrap(err, "decode the record")
	}
	return record, nil
}
