package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basiltally/basiltally/placing"
)

// The VMs choose targets as the gateway does, and get as many requests as in deployment B. A sixth of the targets is cold.
func TestAllotmentIsUsedByTheGatewaysChoice(t *testing.T) {
	usual := useOfAllotment(t, false)
	preferred := useOfAllotment(t, true)
	t.Logf("share of the allotment that is used: %.3f by the usual choice, %.3f with preference", usual, preferred)
	if preferred < 0.6 {
		t.Errorf("only %.3f of the allotment is used", preferred)
	}
}

func useOfAllotment(t *testing.T, prefer bool) float64 {
	const (
		idempotent                = 0.77 // Share of the requests.
		vms, targets, dataCentres = 71, 183, 6
		perVM                     = 29.4 // Requests per second.
		work                      = 260 * time.Millisecond
		rate                      = 6.5
	)
	random := rand.New(rand.NewPCG(3, 3))
	f := newFleet(vms, targets, rate)
	f.settle()
	place := func(i int) (string, string) {
		return fmt.Sprint("dc", i%dataCentres), fmt.Sprint("r", i%dataCentres/2)
	}
	type end struct {
		vm     int
		id     string
		number uint64
	}
	ends := map[int][]end{}
	var balancers []*placing.Balancer
	for i, name := range f.names {
		dc, region := place(i)
		b := placing.New(placing.Options{VM: name, DataCentre: dc, Region: region, Now: f.clock, Random: random.IntN, ServiceTime: work})
		b.SetVMs(vms)
		balancers = append(balancers, b)
	}
	isCold := func(i int) bool { return i%dataCentres == 0 }
	coldIDs := map[string]bool{}
	for i := range targets {
		if isCold(i) {
			coldIDs[ids[i]] = true
		}
	}
	start := f.now
	sent, total := 0, 0
	for step := range 550 {
		f.now = start.Add(time.Duration(step) * simStep)
		for _, e := range ends[step] {
			balancers[e.vm].End(e.id, e.number, placing.Outcome{Answered: true})
		}
		delete(ends, step)
		if step == 150 {
			f.coldFrom = f.now
			for _, tr := range f.trackers {
				for i := range targets {
					if isCold(i) {
						tr.ObserveStatement(f.directory.Snapshot().ByID[ids[i]], warmUp)
					}
				}
			}
		}
		cold := step >= 150
		for vm := range f.trackers {
			if random.Float64() >= perVM*simStep.Seconds() {
				continue
			}
			var candidates []placing.Candidate
			for i := range targets {
				id := ids[i]
				if isCold(i) && f.trackers[vm].Wait(id) > 0 {
					continue
				}
				dc, region := place(i)
				c := placing.Candidate{ID: id, DataCentre: dc, Region: region, Slots: 6, Connected: true}
				if isCold(i) {
					if until, _, is := f.trackers[vm].Cold(id); is {
						c.ColdUntil = until
					}
				}
				candidates = append(candidates, c)
			}
			if prefer && random.Float64() < idempotent && f.trackers[vm].Prefers("s", targets) {
				var preferred []placing.Candidate
				for _, c := range candidates {
					if _, _, ok := f.trackers[vm].Cold(c.ID); ok {
						preferred = append(preferred, c)
					}
				}
				if len(preferred) > 0 {
					candidates = preferred
				}
			}
			c := balancers[vm].Pick(candidates, false, nil)
			if f.trackers[vm].Take(c.ID) > 0 {
				continue
			}
			if cold {
				total++
				if coldIDs[c.ID] {
					sent++
					f.sent[c.ID] = append(f.sent[c.ID], f.now)
				}
			}
			n := balancers[vm].Begin(c)
			ends[step+int(work/simStep)] = append(ends[step+int(work/simStep)], end{vm, c.ID, n})
		}
	}
	if most := f.most(); float64(most) > f.bound() {
		t.Errorf("%d requests in a second, of %v allowed", most, f.bound())
	}
	t.Logf("%d of %d requests to %d cold targets", sent, total, len(coldIDs))
	return float64(sent) / (float64(len(coldIDs)) * rate * warmUp.Seconds())
}
