package claim

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/basiltally/basiltally/ownership"
)

// rank returns the VMs in the order of preference for batching the operations of the
// partition (rendezvous hashing).
func rank(partition int, vms []ownership.VMID) []ownership.VMID {
	type scored struct {
		vm    ownership.VMID
		score uint64
	}
	list := make([]scored, len(vms))
	for i, vm := range vms {
		name := binary.LittleEndian.AppendUint64([]byte(vm), uint64(partition))
		list[i] = scored{vm, xxh3.Hash(name)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	order := make([]ownership.VMID, len(list))
	for i := range list {
		order[i] = list[i].vm
	}
	return order
}
