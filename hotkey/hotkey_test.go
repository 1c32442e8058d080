package hotkey

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/basiltally/basiltally/ownership"
)

func key(i int) ownership.KeyHash { return ownership.KeyHash{Lo: uint64(i)} }

// TestErrorBound compares the estimates with exact counts.
func TestErrorBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counters := rapid.IntRange(1, 12).Draw(t, "counters")
		stream := rapid.SliceOf(rapid.IntRange(0, 30)).Draw(t, "stream")
		c := New(counters)
		exact := make(map[ownership.KeyHash]uint64)
		for _, k := range stream {
			c.Observe(key(k), 1)
			exact[key(k)]++
		}
		bound := uint64(len(stream) / counters)
		listed := make(map[ownership.KeyHash]bool)
		for _, e := range c.Top(counters) {
			listed[e.Key] = true
			if e.Count < exact[e.Key] || e.Count-e.Error > exact[e.Key] || e.Error > bound {
				t.Fatalf("estimate %+v violates the bounds: exact count %d, largest error %d", e, exact[e.Key], bound)
			}
		}
		for k, n := range exact {
			if n > bound && !listed[k] {
				t.Fatalf("key %v with %d of %d observations has no counter", k, n, len(stream))
			}
		}
	})
}

func TestDecayLetsNewKeysOvertakeOldOnes(t *testing.T) {
	is := is.New(t)
	c := New(4)
	c.Observe(key(1), 1000)
	for range 12 {
		c.Decay()
		c.Observe(key(2), 10)
	}
	is.Equal(c.Top(1)[0].Key, key(2))
	is.Equal(len(c.Top(10)), 2)
}

func BenchmarkObserve(b *testing.B) {
	c := New(1024)
	b.ReportAllocs()
	for i := range b.N {
		c.Observe(key(i%5000), 1)
	}
}
