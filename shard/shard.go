// Package shard assigns ranges of keys to targets that own them exclusively. It
// suits targets that keep their leases themselves and know only grants and
// releases with a fencing token.
//
// One VM at a time is the assigner. It writes who is to own what to the store
// before it acts, so that a successor goes on where it stopped. A range moves
// only once its former owner has confirmed the release, or can hold it no
// longer. The decisions are in Keeper and Plan, which do no I/O.
package shard

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Key is a key that callers send.
type Key uint16

// LastKey is the largest key.
const LastKey Key = 65535

// Keys is a range of keys, both ends included.
type KeyRange struct {
	From Key `json:"from"`
	To   Key `json:"to"`
}

// AllKeys is the range of all keys.
var AllKeys = KeyRange{0, LastKey}

// Size returns the number of keys.
func (k KeyRange) Size() int { return int(k.To) - int(k.From) + 1 }

// Contains reports whether o lies within k.
func (k KeyRange) Contains(o KeyRange) bool { return k.From <= o.From && o.To <= k.To }

// Overlaps reports whether the ranges share a key.
func (k KeyRange) Overlaps(o KeyRange) bool { return k.From <= o.To && o.From <= k.To }

// Intersect returns the keys in both ranges, which must overlap.
func (k KeyRange) Intersect(o KeyRange) KeyRange {
	return KeyRange{max(k.From, o.From), min(k.To, o.To)}
}

// Holder is one life of a target that may own keys.
type Holder struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Born is the Unix millisecond of its start.
	Born int64 `json:"born"`
}

// Grant lets a target own keys for a time.
type Grant struct {
	Keys  KeyRange
	Fence uint64
	// Hold is the duration of the lease, from the arrival of the grant.
	LeaseDuration time.Duration
	// Handover is what the last owner gave with its release; may be empty.
	Handover string
}

// Errors of Orders; compare with errors.Is. Any other error leaves open whether
// the order was or will be carried out.
var (
	// ErrFenced reports that the target has seen a higher fencing token.
	ErrFenced = errors.New("shard: the target has seen a higher fencing token")
	// ErrNotDone reports that the order certainly did not take effect.
	ErrNotDone = errors.New("shard: the order did not take effect")
	// ErrNotSent reports that the order was not sent; it is also an ErrNotDone.
	ErrNotSent = errors.WithMessage(ErrNotDone, "not sent")
)

// Orders sends orders to targets. When a call has returned, its connection
// carries the order no longer.
type Orders interface {
	// Grant grants or renews.
	Grant(ctx context.Context, to Holder, g Grant, timeout time.Duration) error
	// Release takes keys back and returns the handover for the next owner.
	Release(ctx context.Context, from Holder, keys KeyRange, fence uint64, timeout time.Duration) (string, error)
	// Forget closes the idle connections to the address.
	Forget(address string)
}

// Record is what the store keeps of the ranges of a service.
type Record struct {
	// Term is that of the assigner that wrote the record.
	Term uint64 `json:"term"`
	// Nonce tells writes apart, to find out what became of one without an answer.
	Nonce string `json:"nonce"`
	// NextFence is larger than every fencing token that the assigner uses.
	NextFence uint64        `json:"next_fence"`
	Ranges    []RangeRecord `json:"ranges"`
}

// RangeRecord is a range with its owner.
type RangeRecord struct {
	Keys  KeyRange `json:"keys"`
	Owner Holder   `json:"owner"`
	// Formers may still hold the range.
	Formers []Holder `json:"formers,omitempty"`
}

// DecodeRecord decodes a record and checks that its ranges are in order.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrap(err, "record of ranges")
	}
	for i, rr := range r.Ranges {
		if rr.Keys.From > rr.Keys.To || i > 0 && rr.Keys.From <= r.Ranges[i-1].Keys.To {
			return nil, errors.Errorf("record of ranges: range %d-%d is out of order", rr.Keys.From, rr.Keys.To)
		}
	}
	if r.NextFence == 0 {
		return nil, errors.New("record of ranges: no fencing token")
	}
	return r, nil
}

// Encode returns the record as a JSON document.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "record of ranges")
}

// Version orders tables: a later assigner's is newer.
type Version struct{ Term, Seq uint64 }

// Less reports whether v is older than o.
func (v Version) Less(o Version) bool { return v.Term < o.Term || v.Term == o.Term && v.Seq < o.Seq }

// Table tells the request path who owns which keys. It is not changed once published.
type Table struct {
	Version Version
	// Entries are in key order and do not overlap.
	Entries []Entry
}

// Entry is a range with its owner.
type Entry struct {
	Keys  KeyRange
	Owner Holder
	// Held is set once the owner has confirmed its grant.
	Held bool
	// Wait is how long it takes at most until another may own keys that are not
	// held, counted from the publication of the table; zero if unknown.
	Wait time.Duration
}

// Find returns the entry of a key, or nil.
func (t *Table) Find(k Key) *Entry {
	i, found := slices.BinarySearchFunc(t.Entries, k, func(e Entry, k Key) int {
		switch {
		case e.Keys.To < k:
			return -1
		case e.Keys.From > k:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &t.Entries[i]
}

// TableOf returns the table that a record describes, for use until the assigner is heard.
// Ranges without former owners are taken as held.
func TableOf(r *Record) *Table {
	t := &Table{Version: Version{Term: r.Term}}
	for _, rr := range r.Ranges {
		t.Entries = append(t.Entries, Entry{Keys: rr.Keys, Owner: rr.Owner, Held: len(rr.Formers) == 0})
	}
	return t
}
