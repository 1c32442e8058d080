package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/warmup"
)

var bounds = warmup.Bounds{Overage: 1.5, Slack: 8}

const (
	warmUp   = 8 * time.Second
	simStep  = 20 * time.Millisecond
	settling = 4 * time.Second
)

// ids has the IDs of the targets.
var ids = func() (out [256]string) {
	for i := range out {
		out[i] = fmt.Sprint("t", i)
	}
	return out
}()

// fleetOfVMs is a number of VMs that share targets of one service. Each has a Tracker of its own and a list of VMs of its own.
type fleetOfVMs struct {
	now     time.Time
	rate    float64
	targets int
	// coldFrom is when the targets turned cold last.
	coldFrom  time.Time
	names     []string
	trackers  []*warmup.Tracker
	directory *fleet.Directory
	random    *rand.Rand
	// sent has the instants of the requests to each target.
	sent map[string][]time.Time
}

func newFleet(vms, targets int, rate float64) *fleetOfVMs {
	f := &fleetOfVMs{now: time.Unix(1000, 0), rate: rate, targets: targets, random: rand.New(rand.NewPCG(4, 4)), sent: map[string][]time.Time{}}
	f.directory = fleet.NewDirectory(fleet.DirectoryOptions{Now: f.clock})
	for i := range targets {
		f.directory.Put(&fleet.Target{ID: fmt.Sprint("t", i), Service: "s", DataCentre: "dc", Born: 1})
	}
	for i := range vms {
		f.names = append(f.names, fmt.Sprint("vm", i))
		f.trackers = append(f.trackers, f.newTracker(i))
	}
	return f
}

func (f *fleetOfVMs) clock() time.Time { return f.now }

func (f *fleetOfVMs) newTracker(i int) *warmup.Tracker {
	return warmup.New(warmup.Options{
		VM: f.names[i], Bounds: bounds, Directory: f.directory, Now: f.clock, Random: f.random.IntN,
		Service: func(string) (warmup.Service, bool) { return warmup.Service{WarmUp: warmUp, PerSecond: f.rate}, true },
	})
}

// settle gives all VMs the whole list for long enough to use it.
func (f *fleetOfVMs) settle() {
	for _, t := range f.trackers {
		t.SetVMs(f.names)
	}
	f.now = f.now.Add(settling)
	f.refresh()
}

func (f *fleetOfVMs) refresh() {
	for _, t := range f.trackers {
		t.Refresh()
	}
}

func (f *fleetOfVMs) send(vm int, target string) bool {
	if f.trackers[vm].Take(target) > 0 {
		return false
	}
	f.sent[target] = append(f.sent[target], f.now)
	return true
}

// most returns the highest number of requests that a target got in a second.
func (f *fleetOfVMs) most() int {
	most := 0
	for _, sent := range f.sent {
		from := 0
		for i, at := range sent {
			for at.Sub(sent[from]) > time.Second {
				from++
			}
			most = max(most, i-from+1)
		}
	}
	return most
}

func (f *fleetOfVMs) bound() float64 { return f.rate*bounds.Overage + bounds.Slack }

// Guards against a cold target that crashes because VMs with different lists exceed the bound together.
func TestBoundHoldsWithDifferentListsOfVMs(t *testing.T) {
	for _, rate := range []float64{4.1, 6.5, 20} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%v a second, seed %d", rate, seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 5))
				f := newFleet(71, 3, rate)
				f.settle()
				cutOff := random.Perm(len(f.names))[:random.IntN(len(f.names))]
				for i := range 1150 {
					f.now = f.now.Add(simStep)
					if i%550 == 0 {
						f.turnCold()
					}
					if i%5 == 0 {
						f.refresh()
					}
					if i%75 == 0 {
						f.changeLists(random, cutOff)
					}
					if i%150 == 149 {
						f.restartVM(random.IntN(len(f.names)))
					}
					if f.now.Before(f.coldFrom.Add(warmUp)) {
						f.sendAll(random)
					}
				}
				t.Logf("at most %d requests in a second, of %v allowed", f.most(), f.bound())
				if most := f.most(); float64(most) > f.bound() {
					t.Errorf("%d requests in a second, of %v allowed", most, f.bound())
				}
			})
		}
	}
}

// turnCold makes all targets cold. The VMs learn it at the same time.
func (f *fleetOfVMs) turnCold() {
	f.coldFrom = f.now
	for _, t := range f.trackers {
		t.MarkCold("dc", f.now)
	}
}

// restartVM replaces a VM by one that knows what it reads from the store, and the list of VMs of an assigner that knows few.
func (f *fleetOfVMs) restartVM(vm int) {
	f.trackers[vm] = f.newTracker(vm)
	f.trackers[vm].MarkCold("dc", f.coldFrom)
	f.trackers[vm].SetVMs(f.names[vm : vm+1])
}

// sendAll lets two thirds of the VMs send all that they may to each target.
func (f *fleetOfVMs) sendAll(random *rand.Rand) {
	for vm := range f.trackers {
		for n := range f.targets {
			if random.IntN(3) == 0 {
				continue
			}
			for range 20 {
				if !f.send(vm, ids[n]) {
					break
				}
			}
		}
	}
}

func (f *fleetOfVMs) changeLists(random *rand.Rand, cutOff []int) {
	var side []string
	for vm, name := range f.names {
		if !slices.Contains(cutOff, vm) {
			side = append(side, name)
		}
	}
	switch random.IntN(4) {
	case 0: // The assigner lists only the VMs on its side. The others keep their lists.
		for vm := range f.trackers {
			if !slices.Contains(cutOff, vm) {
				f.trackers[vm].SetVMs(side)
			}
		}
	case 1: // A new assigner lists the VMs that have connected to it so far.
		n := 1 + random.IntN(len(f.names))
		for _, t := range f.trackers {
			t.SetVMs(f.names[:n])
		}
	case 2: // Each VM has the list that the new assigner sent when it connected.
		f.connectInTurn(random)
	case 3: // Each VM lacks others.
		for vm, t := range f.trackers {
			list := []string{f.names[vm]}
			for _, name := range f.names {
				if name != f.names[vm] && random.IntN(5) > 0 {
					list = append(list, name)
				}
			}
			t.SetVMs(list)
		}
	}
}

// connectInTurn gives each VM a list of those that connected before it.
func (f *fleetOfVMs) connectInTurn(random *rand.Rand) {
	var list []string
	for _, vm := range random.Perm(len(f.names)) {
		list = append(list, f.names[vm])
		f.trackers[vm].SetVMs(list)
	}
}

// VMs that all restart get short lists of VMs first. They must not send by these.
func TestBoundHoldsWhileVMsConnectAfterARestart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 5))
	f := newFleet(71, 4, 6.5)
	f.connectInTurn(random)
	f.turnCold()
	for i := range int(warmUp/simStep) - 1 {
		f.now = f.now.Add(simStep)
		if i == 50 {
			for _, t := range f.trackers {
				t.SetVMs(f.names)
			}
		}
		f.refresh()
		f.sendAll(random)
	}
	if most := f.most(); most == 0 || float64(most) > f.bound() {
		t.Errorf("%d requests in a second, of %v allowed", most, f.bound())
	}
}

// Guards against two sides of a long cut that exceed the bound together.
func TestBoundHoldsOnTwoSidesOfALongCut(t *testing.T) {
	for _, rate := range []float64{0.7, 4.1, 6.5, 20, 150} {
		f := newFleet(71, 4, rate)
		f.settle()
		for range 150 {
			for vm, t := range f.trackers {
				if vm%2 == 0 {
					t.SetVMs(f.names[:1])
				}
				var side []string
				for other, name := range f.names {
					if other%2 == vm%2 {
						side = append(side, name)
					}
				}
				t.SetVMs(side)
			}
			f.now = f.now.Add(time.Second)
			f.refresh()
		}
		for _, t := range f.trackers {
			t.MarkCold("dc", f.now)
		}
		for range 350 {
			f.now = f.now.Add(simStep)
			for vm := range f.trackers {
				for n := range f.targets {
					f.send(vm, ids[n])
				}
			}
		}
		if most := f.most(); float64(most) > f.bound() {
			t.Errorf("%v a second: %d requests in a second, of %v allowed", rate, most, f.bound())
		}
	}
}

// Guards against new tokens for each incarnation of a target that crashes at each start.
func TestBoundHoldsForATargetThatRestartsAgainAndAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(71, 1, 6.5)
	f.settle()
	f.turnCold()
	for i := range 500 {
		f.now = f.now.Add(simStep)
		for vm, tr := range f.trackers {
			if i%10 == 0 {
				tr.ObserveEntry(&fleet.Target{ID: "t0", Service: "s", DataCentre: "dc", Born: int64(i + 2), WarmUpLeft: warmUp}, true)
			}
			f.send(vm, "t0")
		}
	}
	is.True(f.most() > 0)
	is.True(float64(f.most()) <= f.bound())
}

// A VM that has no list of VMs yet must send nothing to a cold target: all VMs that restart together would else send.
func TestVMsWithoutAListSendNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(71, 1, 6.5)
	for vm, tr := range f.trackers {
		tr.MarkCold("dc", f.now)
		is.True(!f.send(vm, "t0"))
	}
	f.now = f.now.Add(settling)
	f.refresh()
	for vm := range f.trackers {
		is.True(!f.send(vm, "t0"))
	}
}

// Guards against an allotment that is not used although the VMs have requests for the target.
func TestAllotmentIsUsed(t *testing.T) {
	for _, rate := range []float64{0.7, 4.1, 6.5, 20} {
		f := newFleet(71, 4, rate)
		f.settle()
		for range 600 {
			f.now = f.now.Add(time.Second)
			f.refresh()
		}
		f.turnCold()
		for range int(warmUp/simStep) - 1 {
			f.now = f.now.Add(simStep)
			for vm := range f.trackers {
				for n := range f.targets {
					f.send(vm, ids[n])
				}
			}
		}
		total := 0
		for _, sent := range f.sent {
			total += len(sent)
		}
		share := float64(total) / (float64(f.targets) * rate * warmUp.Seconds())
		t.Logf("%v a second: %.3f of the rate is used, at most %d of %v in a second", rate, share, f.most(), f.bound())
		if share < 0.85 {
			t.Errorf("%v a second: only %.3f of the rate is used", rate, share)
		}
	}
}
