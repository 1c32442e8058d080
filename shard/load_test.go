package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Keys of a hot spot that have had no request yet count like their neighbours; a single hot key stays alone.
func TestSmoothedFillsGapsOfAHotSpot(t *testing.T) {
	is := is.New(t)
	l := NewLoad(time.Second)
	counts := map[Key]uint32{500: 100, 0: 5, LastKey: 5}
	for k := Key(1000); k < 1060; k++ {
		if k%3 != 0 {
			counts[k] = 4
		}
	}
	l.Add(counts, time.Second)
	s := l.Smoothed()
	for k := Key(1004); k < 1056; k++ {
		is.Equal(s.Rate(KeyRange{k, k}), 4.0)
	}
	is.Equal(s.Rate(KeyRange{490, 510}), 100.0)
	is.Equal(s.Rate(KeyRange{0, 20}), 5.0)
	is.Equal(s.Rate(KeyRange{LastKey - 20, LastKey}), 5.0)
	is.Equal(l.Rate(KeyRange{1002, 1002}), 0.0) // The original stays.
}
