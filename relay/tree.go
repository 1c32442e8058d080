package relay

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// RootsPerDataCentre is the number of VMs per data centre that watch the store
	// and subscribe to assigners themselves.
	RootsPerDataCentre = 2
	// FanOut is the greatest number of children of a VM in the tree.
	FanOut = 16
)

// Member is a VM in the relay tree.
type Member struct {
	ID         string
	Address    string
	DataCentre string
}

// Place is a VM's position in the relay tree of its data centre.
type Position struct {
	// Root is set for VMs that follow the sources themselves.
	IsRoot bool
	// Ancestors are the addresses to follow: the parent first, then its parent,
	// up to the roots.
	Ancestors []string
}

// Find returns the place of the VM named self. Ranks come from a hash over the
// members, so VMs that see the same list agree without an election; a VM with
// another list follows a parent that is not its own, which costs a stream and
// nothing else.
func FindPosition(self string, members []Member) Position {
	ranked := rank(self, members)
	index := -1
	for i, m := range ranked {
		if m.ID == self {
			index = i
		}
	}
	if index < RootsPerDataCentre {
		return Position{IsRoot: true}
	}
	var p Position
	for index >= RootsPerDataCentre {
		index = parent(index)
		p.Ancestors = append(p.Ancestors, ranked[index].Address)
	}
	other := ranked[(index+1)%RootsPerDataCentre].Address
	p.Ancestors = append(p.Ancestors, other)
	return p
}

// parent spreads the members below the roots over complete trees of FanOut children.
func parent(index int) int {
	return (index - RootsPerDataCentre) / FanOut
}

// rank returns the members of self's data centre in the order of a hash of their names.
func rank(self string, members []Member) []Member {
	type scored struct {
		Member
		score uint64
	}
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == self })
	if i < 0 {
		return nil
	}
	var list []scored
	for _, m := range members {
		if m.DataCentre == members[i].DataCentre {
			list = append(list, scored{m, xxh3.HashString(m.ID)})
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.ID, b.ID))
	})
	ranked := make([]Member, len(list))
	for i, s := range list {
		ranked[i] = s.Member
	}
	return ranked
}
