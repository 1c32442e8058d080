package shard

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// randomTable divides all keys at random among a few owners.
func randomTable(rng *rand.Rand, seq uint64) *Table {
	t := &Table{Version: Version{1, seq}}
	from := 0
	for from <= int(LastKey) {
		to := min(from+1+rng.IntN(9000), int(LastKey))
		t.Entries = append(t.Entries, Entry{
			Keys: KeyRange{Key(from), Key(to)}, Owner: Holder{ID: string(rune('a' + rng.IntN(3)))}, Held: rng.IntN(2) == 0,
		})
		from = to + 1
	}
	return t
}

func TestDeltasBuildTheTable(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	known := randomTable(rng, 1)
	for seq := uint64(2); seq < 500; seq++ {
		next := randomTable(rng, seq)
		got, ok := tableFromProto(deltaToProto("s", known, next), known)
		is.True(ok)
		is.Equal(got, next)
		known = next
	}
}

func TestDeltaOnAnotherTableIsRefused(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	base, next := randomTable(rng, 1), randomTable(rng, 2)
	m := deltaToProto("s", base, next)
	_, ok := tableFromProto(m, randomTable(rng, 5))
	is.True(!ok)
	_, ok = tableFromProto(m, nil)
	is.True(!ok)
}
