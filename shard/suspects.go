package shard

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/store"
)

// SuspectsKey is the store key of the requests that crash targets, so that they are known after all VMs have
// lost their memory.
const SuspectsKey = "basiltally-quarantine/requests"

// suspectsInterval is the least time between two writes of SuspectsKey.
const suspectsInterval = time.Second

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

// step reads the stored requests if it has not yet, and writes the list if it has changed.
func (k *suspectsKeeper) step(ctx context.Context) error {
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
