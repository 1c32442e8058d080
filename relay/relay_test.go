package relay

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/pb"
)

func view(term, seq uint64, owners ...uint32) *ownership.View {
	v := &ownership.View{
		Group: "g", Term: term, Seq: seq, SlotCount: uint32(len(owners)),
		Targets: []ownership.Target{{ID: "a"}, {ID: "b"}}, States: []ownership.TargetState{0, 0},
	}
	for _, o := range owners {
		v.Slots = append(v.Slots, ownership.SlotState{Owner: o, Seq: seq})
	}
	return v
}

func TestHubKeepsOnlyRisingVersions(t *testing.T) {
	is := is.New(t)
	h := NewHub()
	is.True(h.PublishView(view(2, 5, 0)))
	is.True(!h.PublishView(view(2, 5, 1)))
	is.True(!h.PublishView(view(1, 9, 1)))
	is.True(h.PublishView(view(3, 1, 1)))
	is.Equal(h.View("g").Version(), ownership.Token{Term: 3, Seq: 1})
	is.True(h.PublishBundle(&pb.Bundle{Version: 4}))
	is.True(!h.PublishBundle(&pb.Bundle{Version: 3}))
	is.Equal(h.Bundle().Version, uint64(4))
}

func TestSlowSubscriberGetsNewestAndDeltas(t *testing.T) {
	is := is.New(t)
	h := NewHub()
	h.PublishView(view(1, 1, 0, 0))
	sub := h.Subscribe(nil)
	defer sub.Close()
	follower := &Follower{Hub: NewHub()}
	apply := func() []*pb.Envelope {
		<-sub.Ready()
		messages := sub.Take()
		for _, m := range messages {
			is.NoErr(follower.Receive(m))
		}
		return messages
	}
	is.True(!apply()[0].GetView().Delta) // first the complete view
	for seq := uint64(2); seq < 9; seq++ {
		next := view(1, seq, 0, 1)
		next.Slots[0].Seq = 1
		h.PublishView(next)
	}
	messages := apply()
	is.Equal(len(messages), 1) // intermediate versions are skipped
	is.True(messages[0].GetView().Delta)
	is.Equal(follower.Hub.View("g"), h.View("g"))
}

func TestTreeHasBoundedFanOutAndNoLoops(t *testing.T) {
	is := is.New(t)
	const perDataCentre = 600
	var members []Member
	for i := range perDataCentre {
		name := fmt.Sprintf("vm-%d", i)
		members = append(members, Member{ID: name, Address: name, DataCentre: "dc1"}, Member{ID: "x" + name, Address: "x" + name, DataCentre: "dc2"})
	}
	children := make(map[string]int)
	roots, deepest := 0, 0
	for _, m := range members {
		p := FindPosition(m.ID, members)
		if p.IsRoot {
			roots++
			continue
		}
		children[p.Ancestors[0]]++
		deepest = max(deepest, len(p.Ancestors))
		for _, a := range p.Ancestors {
			is.True(a != m.Address) // a VM does not follow itself
		}
	}
	is.Equal(roots, 2*RootsPerDataCentre)
	for _, n := range children {
		is.True(n <= FanOut)
	}
	is.True(deepest <= 4) // two levels of 16 below two roots hold 546, three hold 8738
}

func TestRootFollowsAllWhileItKnowsNoSources(t *testing.T) {
	is := is.New(t)
	members := []Member{{ID: "a", Address: "a:1"}, {ID: "b", Address: "b:1"}, {ID: "c", Address: "c:1"}}
	var sources []string
	tree := &Tree{Self: "a", Sources: func() []string { return sources }}
	is.Equal(len(tree.wanted(Position{IsRoot: true}, members)), 2)
	sources = []string{"a", "c"}
	wanted := tree.wanted(Position{IsRoot: true}, members)
	is.Equal(len(wanted), 1)
	is.True(wanted["c:1"] != nil)
}
