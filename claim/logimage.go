package claim

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/pb"
	"github.com/basiltally/basiltally/store"
)

// logImage is the content of a partition's log as returned by one list call of the store.
type logImage struct {
	ring     []ringSlot
	segments []segment
	batches  map[uint64]*pb.ClaimBatch
}

func newLogImage(objects []store.Object, ringSlots int) (*logImage, error) {
	image := &logImage{
		ring:    make([]ringSlot, ringSlots),
		batches: make(map[uint64]*pb.ClaimBatch),
	}
	for _, o := range objects {
		if err := image.add(o); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(image.segments, func(a, b segment) int { return cmp.Compare(a.From, b.From) })
	return image, nil
}

func (i *logImage) add(o store.Object) error {
	if slot, ok := parseRingKey(o.Key); ok {
		return i.addBatch(slot, o)
	}
	if key, ok := parseSegmentKey(o.Key); ok {
		return i.addSegment(key, o)
	}
	return nil
}

func (i *logImage) addBatch(slot int, o store.Object) error {
	b, err := decodeBatch(o.Value)
	if err != nil {
		return err
	}
	if slot >= len(i.ring) || b.Seq%uint64(len(i.ring)) != uint64(slot) {
		return errors.Errorf("claim batch %d is in the wrong ring slot %d", b.Seq, slot)
	}
	i.ring[slot] = ringSlot{o.Version, b, len(o.Value)}
	i.batches[b.Seq] = b
	return nil
}

func (i *logImage) addSegment(key segmentKey, o store.Object) error {
	s, err := decodeSegment(o.Value)
	if err != nil {
		return err
	}
	lastMS := int64(0)
	for _, b := range s.Batches {
		i.batches[b.Seq] = b
		lastMS = b.TimeMs
	}
	i.segments = append(i.segments, segment{key, lastMS})
	return nil
}

// replay returns the state after the batches from the first that is still needed to the last. The
// error is errIncomplete if one of them is missing.
func (i *logImage) replay() (*logState, error) {
	state := newLogState()
	last := i.last()
	if last == nil {
		return state, nil
	}
	state.next = last.Trimmed
	for seq := last.Trimmed; seq <= last.Seq; seq++ {
		b := i.batches[seq]
		if b == nil {
			return nil, errors.WithMessagef(errIncomplete, "batch %d is missing, the last one is %d", seq, last.Seq)
		}
		state.apply(b)
	}
	return state, nil
}

func (i *logImage) last() *pb.ClaimBatch {
	var last *pb.ClaimBatch
	for _, slot := range i.ring {
		if slot.batch != nil && (last == nil || slot.batch.Seq > last.Seq) {
			last = slot.batch
		}
	}
	return last
}
