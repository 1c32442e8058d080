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
	// candidateInterval is the interval at which candidate lists are checked.
	candidateInterval = 5 * time.Second
	// candidateGrace is how long a candidate must be absent from the VM list, or
	// leaving, before it is replaced. The grace period is needed because the list
	// lags behind the actual VMs.
	candidateGrace = 30 * time.Second
)

// candidateReplacer decides how the candidate list of one group changes when
// VMs are lost or leave: by one change at a time, and a new VM is added before
// the lost one is removed.
type candidateReplacer struct {
	group ownership.GroupID
	// want is the intended number of candidates.
	want int
	// absentSince holds, for each absent or leaving candidate, the clock reading
	// at which it was first found so.
	absentSince map[ownership.VMID]time.Duration
}

// next returns the change that is due at the clock reading now, and whether one
// is due. None is due unless the VM list names a majority of the candidates, not
// counting leaving VMs: an error in the list is more likely than the loss of so
// many VMs.
func (r *candidateReplacer) next(now time.Duration, candidates []ownership.VMID, s *membership.Snapshot) (assign.ChangeCandidates, bool) {
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
		return r.nextAddition(candidates, s)
	}
	if due >= 0 {
		return assign.ChangeCandidates{Remove: absent[due]}, true
	}
	return assign.ChangeCandidates{}, false
}

// nextAddition returns the addition of the best ranked VM that is not yet a
// candidate, and whether there is one.
func (r *candidateReplacer) nextAddition(candidates []ownership.VMID, s *membership.Snapshot) (assign.ChangeCandidates, bool) {
	for _, vm := range chooseCandidates(r.group, s.VMs, len(s.VMs)) {
		if !slices.Contains(candidates, vm) {
			return assign.ChangeCandidates{Add: vm}, true
		}
	}
	return assign.ChangeCandidates{}, false
}

// replaceCandidates checks, every candidateInterval, the candidate lists of the
// groups that this VM assigns. It replaces candidates that are absent from the
// VM list or leaving.
func (a *Assigner) replaceCandidates(ctx context.Context) {
	replacers := make(map[ownership.GroupID]*candidateReplacer)
	ticker := time.NewTicker(candidateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, id := range a.assignedGroups() {
			if replacers[id] == nil {
				replacers[id] = &candidateReplacer{group: id, want: a.opts.CandidateCount, absentSince: make(map[ownership.VMID]time.Duration)}
			}
			a.replaceCandidate(ctx, replacers[id])
		}
	}
}

// assignedGroups returns the groups of which this VM is the assigner.
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

// replaceCandidate makes the change of the group's candidate list that is due,
// if any. After a failure, the next check tries again.
func (a *Assigner) replaceCandidate(ctx context.Context, r *candidateReplacer) {
	record := a.cachedRecord(r.group).record
	if record == nil {
		return
	}
	change, due := r.next(a.now(), record.Candidates, a.opts.Members.Snapshot())
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	d := a.ExecuteLocal(ctx, r.group, assign.CommandReceived{ID: a.nextCommandID(), Command: change})
	if d.Code == result.OK {
		a.opts.Logger.Info("candidates changed", "group", r.group, "added", change.Add, "removed", change.Remove)
	}
}
