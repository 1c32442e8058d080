package assigner

import (
	"context"
	"slices"
	"time"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/membership"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/result"
)

const (
	// candidateInterval is the pause between two looks at the candidates.
	candidateInterval = 5 * time.Second
	// candidateGrace is how long a candidate must be absent from the VM list, or
	// leaving, before it is replaced. The list lags.
	candidateGrace = 30 * time.Second
)

// replacement decides on the candidate list of one group as VMs are replaced:
// one change at a time, the new VM first.
type replacement struct {
	group ownership.GroupID
	// want is the number of candidates.
	want int
	// absentSince holds the instants since which candidates are absent.
	absentSince map[ownership.VMID]time.Duration
}

// next returns the change that is due at now, if any. It changes nothing while
// the list names less than a majority of the candidates: it is then more likely
// to be wrong than to show so great a loss.
func (r *replacement) next(now time.Duration, candidates []ownership.VMID, s *membership.Snapshot) (assign.ChangeCandidates, bool) {
	var absent []ownership.VMID
	for _, c := range candidates {
		vm, listed := s.VM(c)
		if listed && !vm.Leaving {
			delete(r.absentSince, c)
			continue
		}
		absent = append(absent, c)
		if _, known := r.absentSince[c]; !known {
			r.absentSince[c] = now
		}
	}
	if 2*len(absent) >= len(candidates) {
		return assign.ChangeCandidates{}, false
	}
	due := slices.IndexFunc(absent, func(c ownership.VMID) bool { return now-r.absentSince[c] >= candidateGrace })
	present := len(candidates) - len(absent)
	if present < r.want && (due >= 0 || len(candidates) < r.want) {
		return r.addition(candidates, s)
	}
	if due >= 0 {
		return assign.ChangeCandidates{Remove: absent[due]}, true
	}
	return assign.ChangeCandidates{}, false
}

func (r *replacement) addition(candidates []ownership.VMID, s *membership.Snapshot) (assign.ChangeCandidates, bool) {
	for _, vm := range chooseCandidates(r.group, s.VMs, len(s.VMs)) {
		if !slices.Contains(candidates, vm) {
			return assign.ChangeCandidates{Add: vm}, true
		}
	}
	return assign.ChangeCandidates{}, false
}

// replaceCandidates keeps the candidate lists of the groups that this VM
// assigns filled with VMs of the list.
func (a *Assigner) replaceCandidates(ctx context.Context) {
	plans := make(map[ownership.GroupID]*replacement)
	ticker := time.NewTicker(candidateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range a.assignedGroups() {
			if plans[id] == nil {
				plans[id] = &replacement{group: id, want: a.opts.CandidateCount, absentSince: make(map[ownership.VMID]time.Duration)}
			}
			a.replaceCandidate(ctx, plans[id])
		}
	}
}

func (a *Assigner) assignedGroups() []ownership.GroupID {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []ownership.GroupID
	for id, g := range a.groups {
		if g.assigning.Load() {
			out = append(out, id)
		}
	}
	return out
}

func (a *Assigner) replaceCandidate(ctx context.Context, r *replacement) {
	record := a.stored(r.group).record
	if record == nil {
		return
	}
	change, due := r.next(a.now(), record.Candidates, a.opts.Members.Snapshot())
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	d := a.Command(ctx, r.group, assign.CommandReceived{ID: a.nextCommandID(), Command: change})
	if d.Code == result.OK {
		a.opts.Logger.Info("candidates changed", "group", r.group, "added", change.Add, "removed", change.Remove)
	}
}
