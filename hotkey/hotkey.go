// Package hotkey finds the most frequent keys (heavy hitters) of a stream in
// bounded memory, by the space-saving algorithm.
//
// With k counters and n observations since the last decay, every key observed
// more than n/k times has a counter. An estimate is never too low, and too high
// by at most its own error, which is at most n/k.
package hotkey

import (
	"container/heap"
	"slices"

	"github.com/basiltally/basiltally/ownership"
)

// Count is the estimate for one key.
type Count struct {
	Key ownership.KeyHash
	// Count is at least the true number of occurrences, and exceeds it by at most
	// Error.
	Count, Error uint64
}

// Counter estimates the counts of the most frequent keys. It is not safe for
// concurrent use.
type Counter struct {
	// capacity is the largest number of counters.
	capacity int
	total    uint64
	counters counterHeap
	index    map[ownership.KeyHash]*keyCounter
}

// keyCounter is one of the counters, at present used for the key in Count.
type keyCounter struct {
	Count
	// heapIndex is the position in Counter.counters.
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

// replaceLeast reuses the counter with the lowest count for a new key. The
// former count is kept in the new key's estimate and becomes its error.
func (c *Counter) replaceLeast(key ownership.KeyHash, n uint64) {
	e := c.counters[0]
	delete(c.index, e.Key)
	e.Key = key
	e.Error = e.Count.Count
	e.Count.Count += n
	c.index[key] = e
	heap.Fix(&c.counters, 0)
}

// Total returns the number of observations since the last decay, plus the
// decayed number of earlier ones.
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

// compareCounts orders by descending count, and equal counts by ascending key.
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

// Decay halves all counts, rounded up, so that keys that are no longer frequent
// lose their rank. The error bounds hold for the halved numbers.
func (c *Counter) Decay() {
	c.total = (c.total + 1) / 2
	for _, e := range c.counters {
		e.Count.Count = (e.Count.Count + 1) / 2
		e.Error = (e.Error + 1) / 2
	}
	heap.Init(&c.counters)
}

// counterHeap is a min-heap by count that keeps heapIndex up to date.
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
