package assigner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/assign"
	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/membership"
	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/store"
)

func snapshot(ids ...string) *membership.Snapshot {
	s := &membership.Snapshot{}
	for i, id := range ids {
		s.VMs = append(s.VMs, store.VM{ID: id, Kind: membership.KindEntry, Region: fmt.Sprintf("r%d", i%3)})
	}
	return s
}

func TestLostCandidateIsReplacedOneChangeAtATime(t *testing.T) {
	is := is.New(t)
	r := &candidateReplacer{group: "g", want: 3, absentSince: map[ownership.VMID]time.Duration{}}
	all := []ownership.VMID{"a", "b", "c"}
	_, due := r.next(0, all, snapshot("a", "b", "c", "d"))
	is.True(!due)
	without := snapshot("a", "b", "d")
	_, due = r.next(time.Second, all, without)
	is.True(!due) // the VM list may lag, so a short absence changes nothing
	change, due := r.next(time.Second+candidateGrace, all, without)
	is.True(due)
	is.Equal(change, assign.ChangeCandidates{Add: "d"})
	change, due = r.next(time.Second+candidateGrace, append(all, "d"), without)
	is.True(due)
	is.Equal(change, assign.ChangeCandidates{Remove: "c"})
	_, due = r.next(time.Second+candidateGrace, []ownership.VMID{"a", "b", "d"}, without)
	is.True(!due)
}

func TestCandidatesStayWhileVMListLacksMajority(t *testing.T) {
	is := is.New(t)
	r := &candidateReplacer{group: "g", want: 3, absentSince: map[ownership.VMID]time.Duration{}}
	for _, now := range []time.Duration{0, candidateGrace, 10 * candidateGrace} {
		_, due := r.next(now, []ownership.VMID{"a", "b", "c"}, snapshot("a", "d", "e"))
		is.True(!due)
	}
}

func TestReturningCandidateIsNotReplaced(t *testing.T) {
	is := is.New(t)
	r := &candidateReplacer{group: "g", want: 3, absentSince: map[ownership.VMID]time.Duration{}}
	all := []ownership.VMID{"a", "b", "c"}
	r.next(0, all, snapshot("a", "b"))
	r.next(candidateGrace/2, all, snapshot("a", "b", "c"))
	_, due := r.next(candidateGrace, all, snapshot("a", "b"))
	is.True(!due) // the grace period starts anew with the second absence
}

func TestInitialCandidatesAreSpreadOverRegions(t *testing.T) {
	is := is.New(t)
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprintf("vm%02d", i))
	}
	s := snapshot(ids...)
	for g := range 50 {
		seen := make(map[string]bool)
		for _, c := range chooseCandidates(ownership.GroupID(fmt.Sprint(g)), s.VMs, 3) {
			vm, ok := s.VM(c)
			is.True(ok)
			seen[vm.Region] = true
		}
		is.Equal(len(seen), 3)
	}
}

func TestEachTargetBelongsToOneGroup(t *testing.T) {
	is := is.New(t)
	pool := &config.Pool{Name: "sheets", Groups: []ownership.GroupID{"a", "b", "c"}}
	var targets []assign.TargetInfo
	for i := range 100 {
		targets = append(targets, assign.TargetInfo{Target: ownership.Target{ID: ownership.TargetID(fmt.Sprint("t", i))}})
	}
	count := make(map[ownership.TargetID]int)
	for _, g := range pool.Groups {
		for _, target := range groupTargets(pool, g, targets) {
			count[target.ID]++
		}
	}
	is.Equal(len(count), len(targets))
	for _, n := range count {
		is.Equal(n, 1)
	}
}
