package hotkey

import (
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/ownership"
)

func TestTakeStartsNewInterval(t *testing.T) {
	is := is.New(t)
	r := NewRecorder(8)
	hot, cold := ownership.HashKey([]byte("hot")), ownership.HashKey([]byte("cold"))
	for range 9 {
		r.Observe("g", hot)
	}
	r.Observe("g", cold)
	loads := r.Take(1)
	is.Equal(len(loads), 1)
	is.Equal(loads[0].Total, uint64(10))
	is.Equal(len(loads[0].Keys), 1)
	is.Equal(loads[0].Keys[0].Key, hot)
	is.Equal(len(r.Take(1)), 0)
}
