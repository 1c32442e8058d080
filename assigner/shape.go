package assigner

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/membership"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/store"
)

// targetsOf returns the pool's targets from the VM list.
func targetsOf(pool *config.Pool, s *membership.Snapshot) []assign.TargetInfo {
	var out []assign.TargetInfo
	for _, vm := range s.Pool(pool.Name) {
		t := ownership.Target{
			ID: ownership.TargetID(vm.ID), Address: vm.Address, Region: vm.Region, DataCentre: vm.DataCentre,
			ChecksTokens: pool.ChecksTokens, RequestSlots: pool.TargetSlots, Connections: pool.TargetConnections,
		}
		out = append(out, assign.TargetInfo{Target: t, Leaving: vm.Leaving})
	}
	return out
}

// shareOf returns the targets of one group of the pool: each target belongs to
// the group that a hash of its name selects, so it has one assigner. A target
// that comes or goes leaves the others where they are.
func shareOf(pool *config.Pool, id ownership.GroupID, targets []assign.TargetInfo) []assign.TargetInfo {
	if len(pool.Groups) == 1 {
		return targets
	}
	var out []assign.TargetInfo
	for _, t := range targets {
		if groupOf(pool, t.ID) == id {
			out = append(out, t)
		}
	}
	return out
}

func groupOf(pool *config.Pool, id ownership.TargetID) ownership.GroupID {
	return slices.MaxFunc(pool.Groups, func(a, b ownership.GroupID) int {
		return cmp.Compare(xxh3.HashString(string(a)+"/"+string(id)), xxh3.HashString(string(b)+"/"+string(id)))
	})
}

// initialRecord is the record with which a group is created: candidates by
// rendezvous hash, spread over the regions.
func (a *Assigner) initialRecord(id ownership.GroupID, pool *config.Pool, targets []assign.TargetInfo, s *membership.Snapshot) *ownership.Record {
	r := &ownership.Record{Group: id, CandidatesVersion: 1, Candidates: chooseCandidates(id, s.VMs, a.opts.CandidateCount)}
	for _, t := range targets {
		r.Targets = append(r.Targets, t.Target)
	}
	if !pool.Keyed {
		return r
	}
	r.SlotCount = a.opts.GroupSlots
	r.Owners = make([]uint32, r.SlotCount)
	for slot := range r.Owners {
		r.Owners[slot] = ownership.NoOwner
		if order := ownership.Rank(id, ownership.Slot(slot), r.Targets); len(order) > 0 {
			r.Owners[slot] = uint32(order[0])
		}
	}
	return r
}

// chooseCandidates picks n VMs by rendezvous hash, taking regions in turn.
func chooseCandidates(id ownership.GroupID, vms []store.VM, n int) []ownership.VMID {
	byRegion := make(map[string][]store.VM)
	var regions []string
	for _, vm := range ranked(id, vms) {
		if vm.Leaving {
			continue
		}
		if byRegion[vm.Region] == nil {
			regions = append(regions, vm.Region)
		}
		byRegion[vm.Region] = append(byRegion[vm.Region], vm)
	}
	var out []ownership.VMID
	for depth := 0; len(out) < n; depth++ {
		before := len(out)
		for _, region := range regions {
			if list := byRegion[region]; depth < len(list) && len(out) < n {
				out = append(out, ownership.VMID(list[depth].ID))
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

func ranked(id ownership.GroupID, vms []store.VM) []store.VM {
	list := slices.Clone(vms)
	slices.SortFunc(list, func(a, b store.VM) int {
		return cmp.Compare(xxh3.HashString(string(id)+"/"+b.ID), xxh3.HashString(string(id)+"/"+a.ID))
	})
	return list
}
