// Package hotkey finds the heavy hitters of a stream of keys in bounded memory,
// by the space-saving algorithm.
//
// With k counters and n observations since the last decay, every key seen more
// than n/k times is among the counters, and each estimate is too high by at
// most its own error, which is at most n/k; it is never too low.
package hotkey

import (
	"container/heap"
	"slices"

	"github.com/basiltally/basiltally/ownership"
)

// Count is the estimate for one key.
type Count struct {
	Key ownership.KeyHash
	// Count is at least the true number, and at most Error above it.
	Count, Error uint64
}

// Counter counts keys. It is not safe for concurrent use.
type Counter struct {
	capacity int
	total    uint64
	counters counterHeap
	index    map[ownership.KeyHash]*keyCounter
}

type keyCounter struct {
	Count
	heapIndex int
}

// New returns a Counter with the given number of counters, at least one.
func New(counters int) *Counter {
	counters = max(counters, 1)
	return &Counter{
		capacity: counters,
		counters: make(counterHeap, 0, counters),
		index:    make(map[ownership.KeyHash]*keyCounter, counters),
	}
}

// Observe counts n occurrences of a key.
func (c *Counter) Observe(key ownership.KeyHash, n uint64) {
	c.total += n
	if e, ok := c.index[key]; ok {
		e.Count.Count += n
		heap.Fix(&c.counters, e.heapIndex)
		return
	}
	if len(c.counters) < c.capacity {
		e := &keyCounter{Count: Count{Key: key, Count: n}}
		c.index[key] = e
		heap.Push(&c.counters, e)
		return
	}
	c.replaceLeast(key, n)
}

// replaceLeast gives the counter of the rarest key to another one, which
// inherits its count as the possible error.
func (c *Counter) replaceLeast(key ownership.KeyHash, n uint64) {
	e := c.counters[0]
	delete(c.index, e.Key)
	e.Key = key
	e.Error = e.Count.Count
	e.Count.Count += n
	c.index[key] = e
	heap.Fix(&c.counters, 0)
}

// Total returns the number of observations since the last decay, with the
// decayed rest of earlier ones.
func (c *Counter) Total() uint64 { return c.total }

// Top returns up to n counts, the largest first.
func (c *Counter) Top(n int) []Count {
	list := make([]Count, 0, len(c.counters))
	for _, e := range c.counters {
		list = append(list, e.Count)
	}
	slices.SortFunc(list, compareCounts)
	return list[:min(n, len(list))]
}

func compareCounts(a, b Count) int {
	switch {
	case a.Count != b.Count && a.Count > b.Count:
		return -1
	case a.Count != b.Count:
		return 1
	case a.Key.Hi != b.Key.Hi && a.Key.Hi < b.Key.Hi, a.Key.Hi == b.Key.Hi && a.Key.Lo < b.Key.Lo:
		return -1
	default:
		return 1
	}
}

// Decay halves all counts, so that keys that cooled give way. The bounds hold
// for the halved numbers, rounded up.
func (c *Counter) Decay() {
	c.total = (c.total + 1) / 2
	for _, e := range c.counters {
		e.Count.Count = (e.Count.Count + 1) / 2
		e.Error = (e.Error + 1) / 2
	}
	heap.Init(&c.counters)
}

// entryHeap is a min-heap by count.
type counterHeap []*keyCounter

func (h counterHeap) Len() int           { return len(h) }
func (h counterHeap) Less(i, j int) bool { return h[i].Count.Count < h[j].Count.Count }

func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *counterHeap) Push(x any) {
	e := x.(*keyCounter)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *counterHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
