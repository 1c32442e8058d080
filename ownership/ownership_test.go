package ownership

import (
	"testing"

	"github.com/matryer/is"
)

func TestTokenOrderAndText(t *testing.T) {
	is := is.New(t)
	low, high := Token{Term: 1, Seq: 9}, Token{Term: 2, Seq: 1}
	is.True(low.Less(high))
	is.True(!high.Less(low))
	parsed, err := ParseToken(high.String())
	is.NoErr(err)
	is.Equal(parsed, high)
	_, err = ParseToken("7")
	is.True(err != nil)
}

func TestLookupPrefersPinAndDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	h := HashKey([]byte("sheet-7"))
	v := &View{
		Term: 3, SlotCount: 1, Targets: []Target{{ID: "a"}, {ID: "b"}},
		Slots:  []SlotState{{Owner: 0, Seq: 1}, {Owner: 1, Seq: 2}},
		Pinned: map[KeyHash]Slot{h: 1},
	}
	owner, ok := v.Lookup(h)
	is.True(ok)
	is.Equal(owner.Target.ID, TargetID("b"))
	is.Equal(owner.Token, Token{Term: 3, Seq: 2})
	other, ok := v.Lookup(HashKey([]byte("other")))
	is.True(ok)
	is.Equal(other.Target.ID, TargetID("a"))
	is.Equal(testing.AllocsPerRun(100, func() { v.Lookup(h) }), 0.0)
}
