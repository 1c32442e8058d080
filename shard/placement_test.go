package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/fleet"
)

// placementTest is an assigner of one service with two targets in each of four data centres, two of which are in region
// r1 and two in r2. Each target has some of the keys.
type placementTest struct {
	is        *is.I
	evacuated []string
	allowed   []string
	directory *fleet.Directory
	assigner  *assigner
	service   *serviceState
	now       time.Duration
}

const placedService = "s"

func newPlacementTest(t *testing.T, is *is.I) *placementTest {
	p := &placementTest{is: is, directory: fleet.NewDirectory(fleet.DirectoryOptions{}), now: time.Minute}
	agent := NewAgent(AgentOptions{
		Directory: p.directory,
		Placement: PlacementOptions{
			Evacuated:      func(dc string) bool { return slices.Contains(p.evacuated, dc) },
			AllowedRegions: func(string) ([]string, bool) { return p.allowed, len(p.allowed) > 0 },
		},
	})
	p.assigner = newAssigner(t.Context(), agent, 2, 0, predecessor{})
	t.Cleanup(func() { p.assigner.stop(nil) })
	record := &Record{Term: 1, NextFence: 1}
	const size = 65536 / 8
	for i := range 8 {
		target := &fleet.Target{
			ID: fmt.Sprintf("t%d", i), Service: placedService, Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 6,
			DataCentre: fmt.Sprintf("dc%d", i/2), Region: fmt.Sprintf("r%d", i/4+1),
		}
		p.directory.Put(target)
		record.Ranges = append(record.Ranges, RangeRecord{
			Keys: KeyRange{Key(size * i), Key(size*i + size - 1)}, Owner: Holder{ID: target.ID, Address: target.Address},
		})
	}
	p.service = &serviceState{name: placedService, load: NewLoad(loadTimeConstant), leases: NewLeaseManager(LeaseOptions{}, 2, record, 0, 0)}
	return p
}

// owners returns the IDs of the targets that own keys.
func (p *placementTest) owners() []string {
	var ids []string
	for _, o := range p.service.leases.OwnedRanges() {
		ids = append(ids, o.Owner.ID)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// planned returns the IDs of the targets that may own keys.
func (p *placementTest) planned() []string {
	var ids []string
	for _, t := range p.assigner.planTargets(p.service, p.service.leases.OwnedRanges(), p.now) {
		ids = append(ids, t.Holder.ID)
	}
	return ids
}

// run plans and confirms all orders, for long enough that keys may move again. It returns the releases
// that were sent, by target.
func (p *placementTest) run() map[string]int {
	releases := map[string]int{}
	for range 40 {
		p.now += planInterval
		owned := p.service.leases.OwnedRanges()
		moves := Plan(owned, p.assigner.planTargets(p.service, owned, p.now), p.service.load, PlanOptions{}, p.now)
		if p.service.leases.Propose(moves, p.now) != nil {
			p.service.leases.FinishProposal(true)
		}
		for range 3 { // A release is followed by a grant.
			for _, o := range p.service.leases.DueOrders(p.now) {
				r := Result{Order: o}
				if o.Release {
					releases[o.To.ID]++
					r.Handover = "h"
				}
				p.service.leases.HandleResult(r, p.now)
			}
		}
	}
	return releases
}

// The keys of an evacuated data centre must move away with a handover, and return after its end.
func TestKeysLeaveEvacuatedDataCentre(t *testing.T) {
	is := is.New(t)
	p := newPlacementTest(t, is)
	p.run()
	is.Equal(len(p.owners()), 8)
	p.evacuated = []string{"dc0"}
	releases := p.run()
	is.Equal(p.owners(), []string{"t2", "t3", "t4", "t5", "t6", "t7"})
	is.True(releases["t0"] > 0 && releases["t1"] > 0)
	p.evacuated = []string{"dc0", "dc1"} // All of region r1; the evacuations overlap.
	p.run()
	is.Equal(p.owners(), []string{"t4", "t5", "t6", "t7"})
	p.evacuated = []string{"dc1"}
	p.run()
	is.Equal(p.owners(), []string{"t0", "t1", "t4", "t5", "t6", "t7"})
	p.evacuated = nil
	p.run()
	is.Equal(len(p.owners()), 8)
}

// While each data centre is being evacuated, no target may get keys, and none loses any for want of another.
func TestEvacuationOfAllDataCentresMovesNoKeys(t *testing.T) {
	is := is.New(t)
	p := newPlacementTest(t, is)
	p.evacuated = []string{"dc0", "dc1", "dc2", "dc3"}
	is.Equal(len(p.run()), 0)
	is.Equal(len(p.planned()), 0)
	is.Equal(len(p.owners()), 8)
	p.evacuated = []string{"dc0", "dc1", "dc2"}
	p.run()
	is.Equal(p.owners(), []string{"t6", "t7"})
}

// Keys must be owned in the allowed regions as long as a target is there, and by others when none is.
func TestKeysMoveToAllowedRegions(t *testing.T) {
	is := is.New(t)
	p := newPlacementTest(t, is)
	p.allowed = []string{"r2"}
	p.run()
	is.Equal(p.owners(), []string{"t4", "t5", "t6", "t7"})
	p.evacuated = []string{"dc2", "dc3"}
	p.run()
	is.Equal(p.owners(), []string{"t0", "t1", "t2", "t3"})
	p.evacuated = []string{"dc2"}
	p.run()
	is.Equal(p.owners(), []string{"t6", "t7"})
	p.allowed = []string{"r9"} // A region without targets.
	is.Equal(len(p.planned()), 6)
	p.allowed, p.evacuated = nil, nil
	is.Equal(len(p.planned()), 8)
}

// Guards against keys that move out of the allowed regions because all targets there are cold.
func TestColdTargetsInAllowedRegionsKeepTheirKeys(t *testing.T) {
	is := is.New(t)
	p := newPlacementTest(t, is)
	p.allowed = []string{"r2"}
	p.assigner.agent.opts.Cold = func(t *fleet.Target) (float64, bool) { return 6.5, t.Region == "r2" }
	is.Equal(p.planned(), []string{"t4", "t5", "t6", "t7"})
	p.assigner.agent.opts.Cold = func(t *fleet.Target) (float64, bool) { return 6.5, t.DataCentre == "dc2" }
	is.Equal(p.planned(), []string{"t6", "t7"})
}
