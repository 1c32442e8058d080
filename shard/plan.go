package shard

import (
	"cmp"
	"slices"
	"time"
)

// PlanTarget is a target that may own keys.
type PlanTarget struct {
	Holder Holder
	// Capacity is the number of requests a second that the target can serve.
	Capacity float64
	// FullCapacity is set if the target has named its Capacity as a limit: it gets no more, and the
	// rest of the requests for its keys is refused. It is what the target could serve.
	FullCapacity float64
	// Answered is a lower bound of Capacity by what the target has answered a second lately.
	Answered float64
	// Slots is the number of requests that the target runs at a time, or zero if unknown.
	Slots int
	// WithoutKeys is set if the target owns no keys yet. The plan gives it some.
	WithoutKeys bool
}

// PlanOptions configures which ranges a plan moves for load, and how many.
type PlanOptions struct {
	// HighUtilisation is the utilisation from which keys are moved away from a target.
	// Default 0.6: above it, the queue of a target with six slots grows.
	HighUtilisation float64
	// LimitedUtilisation is the utilisation from which keys are moved away from a limited
	// target, if others are less utilised. Default 0.8: the VMs do not use their shares of the
	// limit to the same degree.
	LimitedUtilisation float64
	// Imbalance is the multiple of the mean utilisation that a target must reach before
	// keys are moved away from it. Default 1.5.
	Imbalance float64
	// FillUtilisation is the utilisation up to which targets are filled that take over parts of a hot
	// spot. Default 0.5.
	FillUtilisation float64
	// MinMoves and MovesPerTarget bound the moves for load in one plan: to MovesPerTarget for each
	// target, but not below MinMoves. A hot spot may need a tenth of the targets and more
	// within a second. Defaults 8 and 0.25.
	MinMoves       int
	MovesPerTarget float64
	// MinStay is how long a range stays with an owner of at least UrgentUtilisation before it may move
	// for load. Default 500 ms, in which several reports arrive.
	MinStay time.Duration
	// BusyMinStay is the same for owners below UrgentUtilisation. Default 2 s: each move stalls the
	// keys until the running work on them has ended.
	BusyMinStay time.Duration
	// UrgentUtilisation is the utilisation from which a target's queue grows. Default 0.8.
	UrgentUtilisation float64
	// HotKeyShare is the share of its owner's capacity from which a single key counts as
	// hot. Default 0.4.
	HotKeyShare float64
	// HotKeyCapacityRatio is the multiple of its owner's capacity that a target must have
	// for a hot key to move to it. Default 1.25.
	HotKeyCapacityRatio float64
	// HotKeyMinStay is how long a hot key stays with its owner before it may move again.
	// Default 10 s: each move stalls the key until its running work has ended, and hot
	// spots last about 5 s.
	HotKeyMinStay time.Duration
}

func (o PlanOptions) withDefaults(fewSlots bool) PlanOptions {
	if fewSlots {
		o.HighUtilisation = cmp.Or(o.HighUtilisation, 0.45)
		o.Imbalance = cmp.Or(o.Imbalance, 1.4)
		o.MinMoves = cmp.Or(o.MinMoves, 4)
		o.MovesPerTarget = cmp.Or(o.MovesPerTarget, 0.01)
	}
	o.HighUtilisation = cmp.Or(o.HighUtilisation, 0.6)
	o.LimitedUtilisation = cmp.Or(o.LimitedUtilisation, 0.8)
	o.Imbalance = cmp.Or(o.Imbalance, 1.5)
	o.FillUtilisation = cmp.Or(o.FillUtilisation, 0.5)
	o.MinMoves = cmp.Or(o.MinMoves, 8)
	o.MovesPerTarget = cmp.Or(o.MovesPerTarget, 0.25)
	o.MinStay = cmp.Or(o.MinStay, 500*time.Millisecond)
	o.BusyMinStay = cmp.Or(o.BusyMinStay, 2*time.Second)
	o.UrgentUtilisation = cmp.Or(o.UrgentUtilisation, 0.8)
	o.HotKeyShare = cmp.Or(o.HotKeyShare, 0.4)
	o.HotKeyCapacityRatio = cmp.Or(o.HotKeyCapacityRatio, 1.25)
	o.HotKeyMinStay = cmp.Or(o.HotKeyMinStay, 10*time.Second)
	return o
}

// planner is the state of one plan: the projected owners and loads.
type planner struct {
	opts PlanOptions
	now  time.Duration
	load *Load
	// fewSlots is set if the targets have few slots, and spots are the hot spots if it is set.
	fewSlots bool
	spots    []HotSpot
	owned    []OwnedRange
	targets  []*planTarget
	byID     map[string]*planTarget
	// meanRate is the total request rate divided by the number of targets.
	meanRate float64
	moves    []Move
}

type planTarget struct {
	PlanTarget
	// rate is the request rate of the keys that the target owns.
	rate float64
	// keys is the number of keys that the target owns.
	keys int
	// nothingToMove is set once no more of its keys may move for load.
	nothingToMove bool
}

// limited reports whether the target has named its capacity as a limit.
func (t *planTarget) limited() bool { return t.FullCapacity > 0 }

// utilisation returns the share of the target's capacity that its keys take.
func (t *planTarget) utilisation() float64 { return t.rate / t.Capacity }

// preferredTo reports whether keys should go to t rather than to o: the target with the
// lower utilisation or, if these are equal, the one with fewer keys.
func (t *planTarget) preferredTo(o *planTarget) bool {
	return cmp.Or(cmp.Compare(t.utilisation(), o.utilisation()), cmp.Compare(t.keys, o.keys)) < 0
}

// Plan returns the moves that are due, the most urgent first: ranges whose owner is lost
// or gone, keys without an owner, ranges for targets without keys, and parts of ranges
// whose owner is overloaded. The last kind relieves a hot spot, which is many requests
// for a few adjacent keys of one owner.
func Plan(owned []OwnedRange, targets []PlanTarget, load *Load, opts PlanOptions, now time.Duration) []Move {
	if len(targets) == 0 {
		return nil
	}
	p := &planner{opts: opts.withDefaults(haveFewSlots(targets)), now: now, fewSlots: haveFewSlots(targets), owned: slices.Clone(owned), byID: map[string]*planTarget{}}
	if p.fewSlots {
		p.load, p.spots = load.Projected(now), load.HotSpots()
	} else {
		p.load = load.Smoothed()
	}
	for _, t := range targets {
		pt := &planTarget{PlanTarget: t}
		p.targets = append(p.targets, pt)
		p.byID[t.Holder.ID] = pt
	}
	p.limitSpots()
	if len(owned) == 0 {
		return p.divideByCapacity()
	}
	for _, o := range p.owned {
		if t := p.currentOwner(o); t != nil {
			t.addKeys(o.Keys, p.load.Rate(o.Keys))
		}
	}
	p.meanRate = p.load.Rate(AllKeys) / float64(len(targets))
	p.replaceOwners()
	p.fillGaps()
	p.giveFirstKeys()
	p.spreadSpots()
	p.spreadLoad()
	return p.moves
}

// haveFewSlots reports whether most of the targets have few slots.
func haveFewSlots(targets []PlanTarget) bool {
	n := 0
	for _, t := range targets {
		if t.Slots > 0 && t.Slots <= fewSlots {
			n++
		}
	}
	return 2*n > len(targets)
}

// currentOwner returns the target that owns the range and can keep it, or nil.
func (p *planner) currentOwner(o OwnedRange) *planTarget {
	t := p.byID[o.Owner.ID]
	if t == nil || t.Holder != o.Owner || o.MustMove {
		return nil
	}
	return t
}

// addKeys adds keys with the given total request rate to the target.
func (t *planTarget) addKeys(keys KeyRange, rate float64) {
	t.rate += rate
	t.keys += keys.Size()
	t.WithoutKeys = false
}

// divideByCapacity returns the moves for the first table: a range for each target, in
// proportion to its capacity.
func (p *planner) divideByCapacity() []Move {
	total := 0.0
	for _, t := range p.targets {
		total += t.Capacity
	}
	from, sum := 0, 0.0
	for i, t := range p.targets {
		sum += t.Capacity
		to := int(sum/total*float64(AllKeys.Size())) - 1
		if i == len(p.targets)-1 {
			to = int(LastKey)
		}
		if to < from {
			continue
		}
		p.moves = append(p.moves, Move{KeyRange{Key(from), Key(to)}, t.Holder})
		from = to + 1
	}
	return p.moves
}

// replaceOwners assigns new owners to the ranges whose owner is lost or gone. A later
// incarnation of a target that is not lost keeps the ranges of the earlier one.
func (p *planner) replaceOwners() {
	for i, o := range p.owned {
		if p.currentOwner(o) != nil {
			continue
		}
		if t := p.byID[o.Owner.ID]; t != nil && !o.MustMove {
			p.assign(i, o.Keys, t)
			continue
		}
		p.distribute(i, o)
	}
}

// distribute assigns a range to the least utilised targets. A range with more than half
// of the mean rate is split into parts of about that rate.
func (p *planner) distribute(i int, o OwnedRange) {
	rest := o.Keys
	for {
		t := p.leastUtilised(o.Owner.ID)
		if t == nil {
			return
		}
		part := rest
		if maxRate := p.meanRate / 2; p.load.Rate(rest) > maxRate {
			part = p.prefix(rest, maxRate)
		}
		p.assign(i, part, t)
		if part.To == rest.To {
			return
		}
		rest.From = part.To + 1
	}
}

// prefix returns the shortest prefix of the keys that has at least the rate, or all keys
// if there is none.
func (p *planner) prefix(keys KeyRange, rate float64) KeyRange {
	sum := 0.0
	for k := int(keys.From); k < int(keys.To); k++ {
		sum += float64(p.load.rates[k])
		if sum >= rate {
			return KeyRange{keys.From, Key(k)}
		}
	}
	return keys
}

// assign moves keys of range i, which its owner cannot keep, to the target.
func (p *planner) assign(i int, keys KeyRange, t *planTarget) {
	p.moves = append(p.moves, Move{keys, t.Holder})
	t.addKeys(keys, p.load.Rate(keys))
	if keys == p.owned[i].Keys {
		p.owned[i].Owner, p.owned[i].Settled, p.owned[i].MustMove = t.Holder, false, false
	}
}

// leastUtilised returns the least utilised target other than the one with the given ID,
// or nil if there is none.
func (p *planner) leastUtilised(except string) *planTarget {
	var best *planTarget
	for _, t := range p.targets {
		if t.Holder.ID == except {
			continue
		}
		if best == nil || t.preferredTo(best) {
			best = t
		}
	}
	return best
}

// fillGaps assigns keys without an owner to the least utilised targets.
func (p *planner) fillGaps() {
	next := 0
	for _, o := range p.owned {
		if int(o.Keys.From) > next {
			p.assignGap(KeyRange{Key(next), o.Keys.From - 1})
		}
		next = int(o.Keys.To) + 1
	}
	if next <= int(LastKey) {
		p.assignGap(KeyRange{Key(next), LastKey})
	}
}

func (p *planner) assignGap(keys KeyRange) {
	t := p.leastUtilised("")
	p.moves = append(p.moves, Move{keys, t.Holder})
	t.addKeys(keys, p.load.Rate(keys))
}

// giveFirstKeys moves the upper half of a range to each target without keys.
func (p *planner) giveFirstKeys() {
	for _, t := range p.targets {
		if !t.WithoutKeys {
			continue
		}
		i := p.rangeToDivide()
		if i < 0 {
			return
		}
		keys := p.owned[i].Keys
		from := p.byID[p.owned[i].Owner.ID]
		upper := p.upperHalf(keys)
		p.transfer(i, upper, from, t)
	}
}

// rangeToDivide returns the index of the range to divide for a target without keys, or -1
// if no range can be divided. It prefers ranges with a large load and many keys.
func (p *planner) rangeToDivide() int {
	best, bestScore := -1, 0.0
	for i, o := range p.owned {
		t := p.currentOwner(o)
		if t == nil || !o.Settled || o.Keys.Size() < 2 {
			continue
		}
		// If there is no load, the size decides.
		score := p.load.Rate(o.Keys)/t.Capacity + float64(o.Keys.Size())/float64(AllKeys.Size())
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// upperHalf returns the upper part of the keys that has about half of their load, or half
// of the keys if there is no load.
func (p *planner) upperHalf(keys KeyRange) KeyRange {
	total := p.load.Rate(keys)
	if total <= 0 {
		return KeyRange{keys.From + Key(keys.Size()/2), keys.To}
	}
	lower := p.prefix(keys, total/2)
	if lower.To >= keys.To {
		return KeyRange{keys.To, keys.To}
	}
	return KeyRange{lower.To + 1, keys.To}
}

// transfer moves a part of range i to another target and splits the range in the
// projected owners.
func (p *planner) transfer(i int, part KeyRange, from, to *planTarget) {
	rate := p.load.Rate(part)
	from.rate -= rate
	from.keys -= part.Size()
	to.addKeys(part, rate)
	p.moves = append(p.moves, Move{part, to.Holder})
	o := p.owned[i]
	var pieces []OwnedRange
	if o.Keys.From < part.From {
		left := o
		left.Keys.To = part.From - 1
		pieces = append(pieces, left)
	}
	pieces = append(pieces, OwnedRange{Keys: part, Owner: to.Holder, Since: p.now})
	if o.Keys.To > part.To {
		right := o
		right.Keys.From = part.To + 1
		pieces = append(pieces, right)
	}
	p.owned = slices.Replace(p.owned, i, i+1, pieces...)
}
