package shard

import (
	"cmp"
	"math"
)

// spreadLoad moves keys from the most utilised targets to those with the most spare
// capacity, until no target exceeds the limits or as many moves are made as PlanOptions allow.
func (p *planner) spreadLoad() {
	for left := max(p.opts.MinMoves, int(p.opts.MovesPerTarget*float64(len(p.targets)))); left > 0; {
		from, mean := p.mostUtilised(), p.meanUtilisation()
		if from == nil || !p.overloaded(from, mean) {
			return
		}
		if p.offload(from, mean) {
			left--
		} else {
			from.nothingToMove = true
		}
	}
}

// overloaded reports whether keys should move away from the target, given the mean utilisation.
func (p *planner) overloaded(t *planTarget, mean float64) bool {
	if t.limited() {
		return t.utilisation() >= max(p.opts.LimitedUtilisation, mean)
	}
	high := max(p.opts.HighUtilisation, p.opts.Imbalance*mean)
	if len(p.spots) > 0 {
		// While a hot spot lasts, targets are filled up to maxFill.
		high = max(high, maxFill)
	}
	// The rate must be that high beyond its random variation: a target with a few requests a second
	// would else seem overloaded now and then.
	return (t.rate-p.deviation(t))/t.Capacity >= high
}

// deviation returns the standard deviation of the target's rate. The rates of keys of a hot spot are known from the time
// since it began only.
func (p *planner) deviation(t *planTarget) float64 {
	d := p.load.Deviation(t.rate)
	if len(p.spots) == 0 {
		return d
	}
	variance := d * d
	for _, o := range p.owned {
		if p.currentOwner(o) != t {
			continue
		}
		for _, s := range p.spots {
			if o.Keys.Overlaps(s.Keys) {
				variance += p.load.Rate(o.Keys.Overlap(s.Keys)) / s.observed(p.now)
			}
		}
	}
	return math.Sqrt(variance)
}

// offload moves keys away from a target. It returns false if none may move.
func (p *planner) offload(from *planTarget, mean float64) bool {
	to := p.mostSpareCapacity(from)
	if to == nil {
		return false
	}
	if i, key, ok := p.hotKey(from); ok && !p.overloadedWithout(from, key, mean) {
		return p.moveHotKey(i, key, from) || p.moveOtherKeys(key, from, to)
	}
	// The rate that equalises both utilisations, but at most the rate that brings the
	// overloaded target down to the mean.
	rate := min((from.utilisation()-mean)*from.Capacity, (from.utilisation()-to.utilisation())/(1/from.Capacity+1/to.Capacity))
	// Each part of a hot spot moves once, directly to a target that can serve it. If it were halved
	// again and again, each half would stall until the work on it has ended.
	if spare := p.opts.FillUtilisation*to.Capacity - to.rate; spare > 0 {
		rate = min(rate, spare)
	}
	return p.moveRate(from, to, rate)
}

// overloadedWithout reports whether the target would be overloaded also if the key had no
// requests.
func (p *planner) overloadedWithout(t *planTarget, key Key, mean float64) bool {
	rest := *t
	rest.rate -= p.load.Rate(KeyRange{key, key})
	return p.overloaded(&rest, mean)
}

// mostSpareCapacity returns the target with the most spare capacity other than the given
// one, or nil if there is none.
func (p *planner) mostSpareCapacity(except *planTarget) *planTarget {
	var best *planTarget
	for _, t := range p.targets {
		if t != except && (best == nil || t.Capacity-t.rate > best.Capacity-best.rate) {
			best = t
		}
	}
	return best
}

// hotKey returns a key of the target that alone takes a large share of its capacity, and
// the index of the key's range. It returns false if there is none. The load of such a
// key cannot be split; a fast target with little other load serves it best.
func (p *planner) hotKey(t *planTarget) (int, Key, bool) {
	for i, o := range p.owned {
		if p.currentOwner(o) != t {
			continue
		}
		// A limit makes no key hot: its load can move together with that of others.
		if keys, _, ok := p.load.Narrowest(o.Keys, p.opts.HotKeyShare*cmp.Or(t.FullCapacity, t.Capacity)); ok && keys.Size() == 1 {
			return i, keys.From, true
		}
	}
	return 0, 0, false
}

// moveHotKey moves a hot key of range i to the target with the most spare capacity among
// those that are clearly faster and have no hot key. It returns false if there is none,
// or if the range may not move yet.
func (p *planner) moveHotKey(i int, key Key, from *planTarget) bool {
	o := p.owned[i]
	minStay := p.opts.MinStay
	if o.Keys.Size() == 1 {
		// The key was moved as a hot key before.
		minStay = p.opts.HotKeyMinStay
	}
	if !o.Settled || p.now-o.Since < minStay {
		return false
	}
	var best *planTarget
	for _, t := range p.targets {
		if _, _, hasHotKey := p.hotKey(t); hasHotKey || t.Capacity < p.opts.HotKeyCapacityRatio*from.Capacity {
			continue
		}
		if best == nil || t.Capacity-t.rate > best.Capacity-best.rate {
			best = t
		}
	}
	if best == nil {
		return false
	}
	p.transfer(i, KeyRange{key, key}, from, best)
	return true
}

// moveOtherKeys moves a part of a target's ranges that does not contain its hot key. It
// returns false if no such part with load may move.
func (p *planner) moveOtherKeys(key Key, from, to *planTarget) bool {
	for i, o := range p.owned {
		if !p.mayMove(o, from) || p.load.Rate(o.Keys) <= 0 {
			continue
		}
		switch {
		case !o.Keys.Contains(KeyRange{key, key}):
			p.transfer(i, o.Keys, from, to)
		case key > o.Keys.From && p.load.Rate(KeyRange{o.Keys.From, key - 1}) > 0:
			p.transfer(i, KeyRange{o.Keys.From, key - 1}, from, to)
		case key < o.Keys.To && p.load.Rate(KeyRange{key + 1, o.Keys.To}) > 0:
			p.transfer(i, KeyRange{key + 1, o.Keys.To}, from, to)
		default:
			continue
		}
		return true
	}
	return false
}

func (p *planner) meanUtilisation() float64 {
	rate, capacity := 0.0, 0.0
	for _, t := range p.targets {
		rate += t.rate
		capacity += t.Capacity
	}
	return rate / capacity
}

func (p *planner) mostUtilised() *planTarget {
	var best *planTarget
	for _, t := range p.targets {
		if !t.nothingToMove && (best == nil || t.utilisation() > best.utilisation()) {
			best = t
		}
	}
	return best
}

// mayMove reports whether the range belongs to the target and may move for load.
func (p *planner) mayMove(o OwnedRange, t *planTarget) bool {
	stay := p.opts.MinStay
	if t.utilisation() < p.opts.UrgentUtilisation {
		stay = p.opts.BusyMinStay
	}
	return p.currentOwner(o) == t && o.Settled && p.now-o.Since >= stay
}

// wouldOverload reports whether a target that receives the rate would be no better off than the
// target that it comes from.
func (p *planner) wouldOverload(to, from *planTarget, rate float64) bool {
	if from.limited() {
		return (to.rate+rate)/to.Capacity >= from.utilisation()
	}
	return to.rate+rate >= from.rate
}

// minPartShare is the share of the rate to move that a range must have to be moved as a whole.
const minPartShare = 0.25

// moveRate moves the smallest part of a range that has the rate from one target to another. If no
// range has the rate, it moves the one with the highest. It returns false if no part may move, or
// if the receiving target would end up with at least the rate that the other one has now.
func (p *planner) moveRate(from, to *planTarget, rate float64) bool {
	best, bestKeys := -1, KeyRange{}
	busiest, busiestRate := -1, minPartShare*rate
	for i, o := range p.owned {
		if !p.mayMove(o, from) {
			continue
		}
		keys, got, ok := p.load.Narrowest(o.Keys, rate)
		if !ok {
			if whole := p.load.Rate(o.Keys); whole >= busiestRate && !p.wouldOverload(to, from, whole) {
				busiest, busiestRate = i, whole
			}
			continue
		}
		if p.wouldOverload(to, from, got) {
			continue
		}
		if best < 0 || keys.Size() < bestKeys.Size() {
			best, bestKeys = i, keys
		}
	}
	if best < 0 && busiest >= 0 {
		best, bestKeys = busiest, p.owned[busiest].Keys
	}
	if best < 0 {
		return false
	}
	p.transfer(best, bestKeys, from, to)
	return true
}
