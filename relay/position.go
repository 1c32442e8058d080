package relay

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// RootsPerDataCentre is the number of VMs per data centre that watch the store
	// and subscribe to assigners directly.
	RootsPerDataCentre = 2
	// FanOut is the maximum number of children of a VM in the tree.
	FanOut = 16
)

// Member is a VM in the relay tree.
type Member struct {
	ID         string
	Address    string
	DataCentre string
}

// Position is a VM's position in the relay tree of its data centre.
type Position struct {
	// IsRoot is set for VMs that subscribe to the sources directly.
	IsRoot bool
	// Ancestors are the addresses to subscribe to, most preferred first: the parent,
	// its parent and so on up to a root, then the other root.
	Ancestors []string
}

// FindPosition returns the position of the VM with the ID self; a VM that is not
// among the members is a root. The members are ordered by a hash of their IDs, so
// VMs with the same list agree without an election; a VM with another list
// subscribes to a parent that is not its own, which costs an extra stream and
// nothing else.
func FindPosition(self string, members []Member) Position {
	ranked := rankMembers(self, members)
	index := -1
	for i, m := range ranked {
		if m.ID == self {
			index = i
		}
	}
	if index < RootsPerDataCentre {
		return Position{IsRoot: true}
	}
	var position Position
	for index >= RootsPerDataCentre {
		index = parent(index)
		position.Ancestors = append(position.Ancestors, ranked[index].Address)
	}
	other := ranked[(index+1)%RootsPerDataCentre].Address
	position.Ancestors = append(position.Ancestors, other)
	return position
}

// parent returns the index of the parent of a member below the roots. Each member
// has up to FanOut children, and the tree is filled level by level.
func parent(index int) int {
	return (index - RootsPerDataCentre) / FanOut
}

// rankMembers returns the members of self's data centre in the order of a hash of their IDs.
func rankMembers(self string, members []Member) []Member {
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
