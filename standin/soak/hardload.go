package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/basiltally/basiltally/standin/platform"
)

const (
	// evacuateBound is the setting evacuate of the nodes, and evacuationContact how long a node must have been in
	// contact with the store for it to apply.
	evacuateBound     = 5 * time.Second
	evacuationContact = 4 * time.Second
	// maxEvacuationRest bounds how long an evacuation lasts after evacuateBound.
	maxEvacuationRest = 3500 * time.Millisecond
	// coldTime, coldRate, coldOverage and coldSlack are the nodes' warm-up settings.
	coldTime    = 6 * time.Second
	coldRate    = 6.5
	coldOverage = 1.5
	coldSlack   = 8
	// coldToldAfter is how long nodes may not know that a target has become cold, if they cannot have noticed it by
	// refused connections, with the second over which requests are counted.
	coldToldAfter = 3 * time.Second
	// coldDowntime is how long a target must have been down for its refused connections to be noticed.
	coldDowntime = time.Second
	// arrivalSlack is how much later than it was permitted a request may be noticed at a target.
	arrivalSlack = 300 * time.Millisecond
	// entryInterval is the pause between two entries of a cold target.
	entryInterval = 1500 * time.Millisecond
	// meanHardLoadGap is the mean pause between the starts of two disturbances by hard load.
	meanHardLoadGap = 1500 * time.Millisecond
)

// coldBound is the number of requests that a cold target may get in a second.
const coldBound = coldRate*coldOverage + coldSlack

// dataCentres are the data centres of the nodes and targets under hard load.
var dataCentres = []string{"dc0", "dc1", "dc2", "dc3"}

// regionOf maps the data centres to their regions.
var regionOf = map[string]string{"dc0": "r0", "dc1": "r0", "dc2": "r1", "dc3": "r2"}

// allowedRegions has the routes' restrictions by path prefix.
var allowedRegions = map[string][]string{
	"/once/": {"r0", "r1"}, "/upload/": {"r1", "r2"}, "/home/": {"r0", "r1"},
}

// hardLoadRegions is the setting with the content of regionOf.
const hardLoadRegions = "dc0=r0,dc1=r0,dc2=r1,dc3=r2"

const hardLoadSettingsFormat = `evacuate = %v
[warmup]
overage = %v
slack = %v
[overload]
contracts = pressure
`

// hardLoad plays evacuations, cold and slow targets, and checks what targets get. It draws from sources of its own, so
// that the other disturbances of a seed stay the same.
type hardLoad struct {
	soak *soak
	rng  *rand.Rand
	busy map[int]*sync.Mutex

	mu sync.Mutex
	// evacuated has the instants at which the store accepted the evacuations in force, and evacuations their numbers,
	// by data centre.
	evacuated   map[string]time.Time
	evacuations map[string]int
	writes      int
	// storeFaults is the number of faults of the store in force. The store was away from storeAwayFrom to
	// storeAwayUntil, with pauses shorter than evacuationContact.
	storeFaults                   int
	storeAwayFrom, storeAwayUntil time.Time
	// coldFrom has the instants from which the bound of cold targets holds, by their ids, and whether it depends on the
	// store.
	coldFrom map[string]coldStart
	// linkDisturbedAt is when the links to targets were last disturbed, by their ids.
	linkDisturbedAt map[string]time.Time
	// maxCold is the highest number of requests that a cold target got in a second.
	maxCold, reachedCold int
	// evacuationChecks is the number of requests that reached a target in an evacuated data centre.
	evacuationChecks int
	hostileAnswers   atomic.Int64
}

type coldStart struct {
	at        time.Time
	fromStore bool
}

func newHardLoad(s *soak, seed uint64) *hardLoad {
	return &hardLoad{
		soak: s, rng: rand.New(rand.NewPCG(seed, 4)), evacuated: map[string]time.Time{}, evacuations: map[string]int{},
		coldFrom: map[string]coldStart{}, linkDisturbedAt: map[string]time.Time{},
	}
}

// run starts random disturbances for Options.Length and returns when all are over. The first one is an evacuation.
func (h *hardLoad) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	kind := 0
	for end := time.Now().Add(h.soak.opts.Length); time.Now().Before(end) && ctx.Err() == nil; {
		target, companion, restart := h.rng.IntN(len(h.soak.targets)), h.rng.IntN(5), h.rng.IntN(2) == 0
		first, number, again := h.rng.IntN(len(dataCentres)), 1+h.rng.IntN(2), h.rng.IntN(3) == 0
		length := time.Duration(h.rng.Int64N(int64(maxEvacuationRest)))
		played := kind
		running.Go(func() {
			switch played {
			case 0, 1: // Neighbours in the list include the whole region r0.
				var dcs []string
				for i := range number {
					dcs = append(dcs, dataCentres[(first+i)%len(dataCentres)])
				}
				h.evacuate(dcs, companion, length, restart, again)
			case 2:
				h.busy[target].Lock()
				defer h.busy[target].Unlock()
				t := h.soak.targets[target]
				h.soak.logf("target %s turns cold", t.id)
				h.turnCold(t, time.Now().Add(coldToldAfter), true)
			case 3:
				t := h.soak.targets[target].current()
				h.soak.logf("target %s reads slowly, for %v", h.soak.targets[target].id, length)
				t.SetReadPause(10 * time.Millisecond)
				time.Sleep(length)
				t.SetReadPause(0)
			}
		})
		time.Sleep(time.Duration(h.rng.ExpFloat64() * float64(meanHardLoadGap)))
		kind = h.rng.IntN(4)
	}
}

// evacuate evacuates the data centres, beside a fault by the number of companion. Their targets return cold.
func (h *hardLoad) evacuate(dcs []string, companion int, length time.Duration, restart, again bool) {
	h.soak.logf("evacuation of %v, for %v, with fault %d, targets restart: %v, written again: %v", dcs, evacuateBound+length, companion, restart, again)
	for _, dc := range dcs {
		h.write(dc, 1)
	}
	switch companion {
	case 0:
		h.soak.applyStoreFault(&disturbanceParams{kind: int(length / time.Millisecond), length: length})
	case 1:
		if n := h.soak.assigner(); n != nil {
			h.soak.logf("SIGKILL of the assigner's VM %s", n.name)
			n.signal(syscall.SIGKILL)
		}
	}
	if again {
		time.Sleep(length / 2)
		for _, dc := range dcs {
			h.write(dc, 0)
		}
	}
	time.Sleep(evacuateBound + length)
	for _, dc := range dcs {
		h.end(dc, restart)
	}
}

// write writes the entry of an evacuation, which may be in force already.
func (h *hardLoad) write(dc string, begun int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuations[dc] += begun; h.evacuations[dc] == 0 {
		return // It has ended meanwhile.
	}
	h.writes++
	h.soak.store.Put("evacuations", dc, map[string]any{"write": h.writes}) // The content makes it a new revision.
	if _, ok := h.evacuated[dc]; !ok {
		h.evacuated[dc] = time.Now()
	}
}

// end ends an evacuation, unless another one of the same data centre goes on.
func (h *hardLoad) end(dc string, restart bool) {
	h.mu.Lock()
	h.evacuations[dc]--
	last := h.evacuations[dc] == 0
	h.mu.Unlock()
	if !last {
		return
	}
	for i, t := range h.soak.targets {
		if t.dataCentre != dc {
			continue
		}
		h.busy[i].Lock()
		if restart {
			h.soak.restart(t, 0)
		}
		h.turnCold(t, time.Now(), false)
		h.busy[i].Unlock()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuations[dc] > 0 {
		return // It was evacuated again meanwhile.
	}
	h.soak.logf("end of the evacuation of %s", dc)
	delete(h.evacuated, dc)
	h.soak.store.Delete("evacuations", dc)
}

// turnCold makes a target cold, which its entry states. The bound holds from the instant, or later if the nodes can know
// of it only from the store.
func (h *hardLoad) turnCold(t *target, from time.Time, fromStore bool) {
	t.handler.SetCold(coldTime)
	h.mu.Lock()
	h.coldFrom[t.id] = coldStart{from, fromStore}
	h.mu.Unlock()
	h.soak.putEntry(t, "ready")
}

// started makes a target cold that was started again after it had been down for the time.
func (h *hardLoad) started(t *target, down time.Duration) {
	t.handler.SetCold(coldTime)
	start := coldStart{time.Now(), false}
	if down < coldDowntime {
		start = coldStart{start.at.Add(coldToldAfter), true}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coldFrom[t.id] = start
}

// refreshEntries writes the entries of cold targets again until the context ends, as the platform's targets do, so that
// a node that starts does not read a warm-up that is long over. Targets that are being disturbed write nothing.
func (h *hardLoad) refreshEntries(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(entryInterval)
		for i, t := range h.soak.targets {
			if !h.busy[i].TryLock() {
				continue
			}
			if t.current().Cold() {
				h.soak.putEntry(t, "ready")
			}
			h.busy[i].Unlock()
		}
	}
}

// noteStoreFault records that a fault of the store begins (1) or ends (-1).
func (h *hardLoad) noteStoreFault(change int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.storeFaults == 0 && now.Sub(h.storeAwayUntil) > evacuationContact {
		h.storeAwayFrom = now
	}
	h.storeFaults += change
	h.storeAwayUntil = now
}

// noteLink records a disturbance of the link to a target.
func (h *hardLoad) noteLink(t *target) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.linkDisturbedAt[t.id] = time.Now()
}

// reached checks a request that has reached a target. cold is the number of requests in a second that reached it while
// it was cold.
func (h *hardLoad) reached(target, dc string, r *http.Request, arrived time.Time, cold int) {
	id := r.Header.Get("Attempt-Id")
	for prefix, allowed := range allowedRegions {
		if strings.HasPrefix(r.URL.Path, prefix) && !slices.Contains(allowed, regionOf[dc]) {
			h.soak.checker.reportBroken("allowed regions: %s in %s got %s %s, allowed in %v", target, regionOf[dc], id, r.URL.Path, allowed)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkEvacuationLocked(target, dc, id, arrived)
	h.checkColdLocked(target, id, arrived, cold)
}

// checkEvacuationLocked checks that a target in an evacuated data centre gets no requests from nodes in contact with the
// store, once evacuateBound has passed, the time without the store not counted.
func (h *hardLoad) checkEvacuationLocked(target, dc, id string, arrived time.Time) {
	since, ok := h.evacuated[dc]
	n := h.soak.nodeOf(id)
	if ok {
		h.evacuationChecks++
	}
	if !ok || n == nil || arrived.Sub(h.linkDisturbedAt[target]) < evacuationContact {
		return
	}
	due, contact := since.Add(evacuateBound), arrived.Add(-evacuationContact)
	if away := h.storeFaults > 0 || h.storeAwayUntil.After(contact); away {
		// Evacuations that were due stay in force at nodes that were in contact before.
		contact = h.storeAwayFrom.Add(-evacuationContact)
		if due.After(h.storeAwayFrom) {
			return
		}
	} else if h.storeAwayUntil.After(since) && h.storeAwayFrom.Before(due) {
		due = h.storeAwayUntil.Add(evacuateBound)
	}
	if arrived.After(due.Add(arrivalSlack)) && n.inContactSince(contact) {
		h.soak.checker.reportBroken("evacuations: %s in %s got %s from %s %v after the store had accepted the evacuation; due %s",
			target, dc, id, n.name, arrived.Sub(since), due.Format("15:04:05.000"))
	}
}

// checkColdLocked checks the number of requests in a second at a cold target.
func (h *hardLoad) checkColdLocked(target, id string, arrived time.Time, cold int) {
	if cold == 0 {
		return
	}
	h.reachedCold++
	start := h.coldFrom[target]
	from := start.at
	if start.fromStore && (h.storeFaults > 0 || h.storeAwayUntil.Add(coldToldAfter).After(from)) {
		if from = h.storeAwayUntil.Add(coldToldAfter); h.storeFaults > 0 {
			return
		}
	}
	if arrived.Before(from) {
		return
	}
	h.maxCold = max(h.maxCold, cold)
	if float64(cold) > coldBound {
		h.soak.checker.reportBroken("cold targets: %s got %d requests in a second, %.2f allowed; the last one is %s, %v after the bound held",
			target, cold, coldBound, id, arrived.Sub(from))
	}
}

// restrict adds the restrictions, priorities and warm-up settings to a configuration, and a keyed route with
// allowed_regions.
func restrict(routes, services []any) []any {
	home := map[string]any{}
	for i, r := range routes {
		route := r.(map[string]any)
		prefix := route["path_prefix"].(string)
		if i == 0 {
			for name, value := range route {
				home[name] = value
			}
			home["name"], home["path_prefix"], home["allowed_regions"] = "home", "/home/", allowedRegions["/home/"]
		}
		if allowed := allowedRegions[prefix]; allowed != nil {
			route["allowed_regions"] = allowed
		}
		route["priority"] = i % 3
	}
	for _, s := range services {
		service := s.(map[string]any)
		service["warmup"], service["warmup_per_s"] = coldTime.String(), coldRate
	}
	return append(routes, home)
}

// hardLoadSettings returns the nodes' settings that follow those of the section gateway.
func hardLoadSettings() string {
	return fmt.Sprintf(hardLoadSettingsFormat, evacuateBound, coldOverage, coldSlack)
}

// options returns the options of a target under hard load: few slots, and a reset when it is full at every other target of
// those that serve any request.
func (h *hardLoad) options(t *target, o platform.TargetOptions) platform.TargetOptions {
	o.Slots, o.Queue, o.Work = 2, 2, 40*time.Millisecond
	o.FullResets = t.service == free && t.number%2 == 0
	o.Reached = func(r *http.Request, arrived time.Time, cold int) { h.reached(t.id, t.dataCentre, r, arrived, cold) }
	return o
}

// logCounts logs how much of what is checked was played.
func (h *hardLoad) logCounts() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.soak.logf("requests to cold targets: %d, at most %d in a second where the bound held; to targets in evacuated data centres: %d; answers of the hostile target: %d",
		h.reachedCold, h.maxCold, h.evacuationChecks, h.hostileAnswers.Load())
}
