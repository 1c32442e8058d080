// Package shard assigns ranges of keys to targets that own them exclusively. It
// suits targets that track their leases themselves and support only grants and
// releases with a fencing token.
//
// One VM at a time is the assigner. It writes the owners of all ranges to the store
// before it acts on them, so that a successor can continue from there. A new owner is
// granted a range only once the former owner has confirmed the release, or its lease
// has certainly ended. LeaseManager and Plan make the decisions and do no I/O.
package shard

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
)

// Key is a key that callers send.
type Key uint16

// LastKey is the largest key.
const LastKey Key = 65535

// KeyRange is a range of keys that includes both ends.
type KeyRange struct {
	From Key `json:"from"`
	To   Key `json:"to"`
}

// AllKeys is the range of all keys.
var AllKeys = KeyRange{0, LastKey}

// Size returns the number of keys in the range.
func (k KeyRange) Size() int { return int(k.To) - int(k.From) + 1 }

// Contains reports whether o lies within k.
func (k KeyRange) Contains(o KeyRange) bool { return k.From <= o.From && o.To <= k.To }

// Overlaps reports whether the ranges have a key in common.
func (k KeyRange) Overlaps(o KeyRange) bool { return k.From <= o.To && o.From <= k.To }

// Overlap returns the keys in both ranges, which must overlap.
func (k KeyRange) Overlap(o KeyRange) KeyRange { return KeyRange{max(k.From, o.From), min(k.To, o.To)} }

// Holder identifies one incarnation of a target that may own keys.
type Holder struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Born is the start of the incarnation in Unix milliseconds.
	Born int64 `json:"born"`
}

// Grant gives a target a lease on keys.
type Grant struct {
	Keys KeyRange
	// Fence is the grant's fencing token.
	Fence uint64
	// LeaseDuration is the duration of the lease, counted from the arrival of the grant.
	LeaseDuration time.Duration
	// Handover is what the former owner returned at its release. It may be empty.
	Handover string
}

// Errors of Orders, to be compared with errors.Is. After any other error it is unknown
// whether the order was or will be carried out.
var (
	// ErrFenced reports that the target has seen a higher fencing token.
	ErrFenced = errors.New("shard: the target has seen a higher fencing token")
	// ErrNotDone reports that the order certainly did not take effect.
	ErrNotDone = errors.New("shard: the order did not take effect")
	// ErrNotSent reports that the order was not sent. It is also an ErrNotDone.
	ErrNotSent = errors.WithMessage(ErrNotDone, "not sent")
)

// Orders sends orders to targets. Once a call has returned, its connection no longer
// carries the order.
type Orders interface {
	// Grant grants or renews a lease.
	Grant(ctx context.Context, to Holder, g Grant, timeout time.Duration) error
	// Release ends the lease on the keys and returns the handover for the next owner.
	Release(ctx context.Context, from Holder, keys KeyRange, fence uint64, timeout time.Duration) (string, error)
	// CloseIdle closes the idle connections to the address.
	CloseIdle(address string)
}

// Record is the stored form of the ranges of a service and their owners.
type Record struct {
	// Term is the term of the assigner that wrote the record.
	Term uint64 `json:"term"`
	// Nonce identifies one write, to determine the outcome of a write without an answer.
	Nonce string `json:"nonce"`
	// NextFence is larger than every fencing token that the assigner uses.
	NextFence uint64        `json:"next_fence"`
	Ranges    []RangeRecord `json:"ranges"`
	// Era is the era of the store up to which the owners are known. In a later era, the record comes from an older copy: other
	// targets may own the keys, and higher tokens may have been used.
	Era store.Era `json:"era,omitempty"`
}

// RangeRecord is the stored form of a range with its owner.
type RangeRecord struct {
	Keys  KeyRange `json:"keys"`
	Owner Holder   `json:"owner"`
	// FormerOwners are the former owners that may still hold the range.
	FormerOwners []Holder `json:"formers,omitempty"`
}

// DecodeRecord decodes a record. It returns an error if the data is invalid, if ranges
// are not in order or overlap, or if the next fencing token is missing.
func DecodeRecord(data []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrap(err, "decode record of ranges")
	}
	for i, rr := range r.Ranges {
		if rr.Keys.From > rr.Keys.To || i > 0 && rr.Keys.From <= r.Ranges[i-1].Keys.To {
			return nil, errors.Errorf("record of ranges: range %d-%d is invalid or out of order", rr.Keys.From, rr.Keys.To)
		}
	}
	if r.NextFence == 0 {
		return nil, errors.New("record of ranges: next fencing token is missing")
	}
	return r, nil
}

// Encode returns the record as a JSON document.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode record of ranges")
}

// Version orders the tables of a service: by the assigner's term, then by the table's
// number within the term.
type Version struct{ Term, Seq uint64 }

// Less reports whether v is older than o.
func (v Version) Less(o Version) bool { return v.Term < o.Term || v.Term == o.Term && v.Seq < o.Seq }

// Table maps keys to owners for the request path. It must not be changed once published.
type Table struct {
	Version Version
	// PublishedAt is the instant of boottime.Now at which this VM published the table, from which Wait counts.
	PublishedAt time.Duration
	// Entries are sorted by key and do not overlap.
	Entries []Entry
}

// Entry is a range of keys with its owner.
type Entry struct {
	Keys  KeyRange
	Owner Holder
	// Held is set once the owner has confirmed its grant.
	Held bool
	// Wait is the longest time until another target may own the keys, if Held is false.
	// It counts from the publication of the table and is zero if unknown or over.
	Wait time.Duration
	// Share is the share of the requests for the keys, in thousandths, that the owner can serve. The
	// VMs refuse the others. Zero means all.
	Share int
}

// WaitLeft returns what is left of the entry's Wait at the instant of boottime.Now. It is zero if unknown or over.
func (t *Table) WaitLeft(e *Entry, now time.Duration) time.Duration {
	return e.waitAt(now - t.PublishedAt)
}

// waitAt returns the time that is left of Wait when the given time has passed.
func (e Entry) waitAt(passed time.Duration) time.Duration { return max(e.Wait-passed, 0) }

// Find returns the entry whose range contains the key, or nil if there is none.
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

// TableFromRecord returns the table that a record describes, for use until the assigner
// sends a newer one. Ranges without former owners count as held.
func TableFromRecord(r *Record) *Table {
	t := &Table{Version: Version{Term: r.Term}}
	for _, rr := range r.Ranges {
		t.Entries = append(t.Entries, Entry{Keys: rr.Keys, Owner: rr.Owner, Held: len(rr.FormerOwners) == 0})
	}
	return t
}
