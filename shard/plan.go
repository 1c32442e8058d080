package shard

import (
	"cmp"
	"slices"
	"time"
)

// PlanTarget is a target that may own keys.
type PlanTarget struct {
	Holder Holder
	// Capacity is how many requests a second it can serve.
	Capacity float64
	// Fresh targets own nothing yet and are given a share.
	WithoutKeys bool
}

// PlanOptions bound what one plan changes.
type PlanOptions struct {
	// HighUse is the share of its capacity above which a target gives keys away.
	// Default 0.6: above it the queues of six slots grow.
	HighUtilisation float64
	// Imbalance is how many times the mean use a target must have to give keys away.
	// Default 1.5.
	Imbalance float64
	// MaxMoves bounds the moves for load in one plan. Default 8.
	MaxMoves int
	// Rest is how long a range stays with its owner before it moves for load. Default
	// 500 ms, several reports.
	MinStay time.Duration
	// HeavyShare is the share of its owner's capacity from which a key is heavy.
	// Default 0.4.
	HotKeyShare float64
	// Faster is how many times its owner's capacity a target must have to get a
	// heavy key. Default 1.25.
	HotKeyCapacityRatio float64
	// HeavyRest is how long a heavy key stays with its owner. Default 10 s: each move
	// stalls it until its running work has ended, and hot spots last about 5 s.
	HotKeyMinStay time.Duration
}

func (o PlanOptions) withDefaults() PlanOptions {
	o.HighUtilisation = cmp.Or(o.HighUtilisation, 0.6)
	o.Imbalance = cmp.Or(o.Imbalance, 1.5)
	o.MaxMoves = cmp.Or(o.MaxMoves, 8)
	o.MinStay = cmp.Or(o.MinStay, 500*time.Millisecond)
	o.HotKeyShare = cmp.Or(o.HotKeyShare, 0.4)
	o.HotKeyCapacityRatio = cmp.Or(o.HotKeyCapacityRatio, 1.25)
	o.HotKeyMinStay = cmp.Or(o.HotKeyMinStay, 10*time.Second)
	return o
}

// planner is the state of one plan: the projected owners and loads.
type planner struct {
	opts    PlanOptions
	now     time.Duration
	load    *Load
	owned   []OwnedRange
	targets []*planTarget
	byID    map[string]*planTarget
	// meanRate is the rate that a target would have if all had the same.
	meanRate float64
	moves    []Move
}

type planTarget struct {
	PlanTarget
	rate float64
	// keys is the number of keys it owns.
	keys int
	// done is set once nothing more of it may move for load.
	nothingToMove bool
}

func (t *planTarget) utilisation() float64 { return t.rate / t.Capacity }

// before reports whether t is to get keys before o: by use, without load by size.
func (t *planTarget) preferredTo(o *planTarget) bool {
	return cmp.Or(cmp.Compare(t.utilisation(), o.utilisation()), cmp.Compare(t.keys, o.keys)) < 0
}

// Plan returns the moves that are due, most needed first: ranges whose owner
// cannot go on, keys without an owner, shares for targets without keys, and parts
// of ranges whose owner gets more requests than it can serve. The last answers a
// hot spot: many requests for a few neighbouring keys of one owner.
func Plan(owned []OwnedRange, targets []PlanTarget, load *Load, opts PlanOptions, now time.Duration) []Move {
	if len(targets) == 0 {
		return nil
	}
	p := &planner{opts: opts.withDefaults(), now: now, load: load, owned: slices.Clone(owned), byID: map[string]*planTarget{}}
	for _, t := range targets {
		pt := &planTarget{PlanTarget: t}
		p.targets = append(p.targets, pt)
		p.byID[t.Holder.ID] = pt
	}
	if len(owned) == 0 {
		return p.divideByCapacity()
	}
	for _, o := range p.owned {
		if t := p.currentOwner(o); t != nil {
			t.addKeys(o.Keys, load.Rate(o.Keys))
		}
	}
	p.meanRate = load.Rate(AllKeys) / float64(len(targets))
	p.replaceOwners()
	p.fillGaps()
	p.giveFirstKeys()
	p.spreadLoad()
	return p.moves
}

// owner returns the target that goes on with a range, or nil.
func (p *planner) currentOwner(o OwnedRange) *planTarget {
	t := p.byID[o.Owner.ID]
	if t == nil || t.Holder != o.Owner || o.MustMove {
		return nil
	}
	return t
}

func (t *planTarget) addKeys(keys KeyRange, rate float64) {
	t.rate += rate
	t.keys += keys.Size()
	t.WithoutKeys = false
}

// divide makes the first table: a range for each target, by capacity.
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

// replaceOwners finds owners for the ranges whose own cannot go on. A later life
// of the same target keeps its ranges.
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

// distribute gives a range to the least used targets, in parts if it is too much for one.
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

// prefix returns the first part of the keys that has about the rate.
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

func (p *planner) assign(i int, keys KeyRange, t *planTarget) {
	p.moves = append(p.moves, Move{keys, t.Holder})
	t.addKeys(keys, p.load.Rate(keys))
	if keys == p.owned[i].Keys {
		p.owned[i].Owner, p.owned[i].Settled, p.owned[i].MustMove = t.Holder, false, false
	}
}

// leastUsed returns the target with the least use, other than the one named.
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

// fillGaps gives keys without an owner to the least used targets.
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

// startFresh gives each target without keys a part of the most used one's largest range.
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

// largestOfMostUsed returns the index of the range to divide for a fresh target, or -1.
func (p *planner) rangeToDivide() int {
	best, bestScore := -1, 0.0
	for i, o := range p.owned {
		t := p.currentOwner(o)
		if t == nil || !o.Settled || o.Keys.Size() < 2 {
			continue
		}
		// Without load, the size decides.
		score := p.load.Rate(o.Keys)/t.Capacity + float64(o.Keys.Size())/float64(AllKeys.Size())
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// half returns the upper part of the keys that has about half of their load.
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

// give moves a part of range i and splits the range in the projection.
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

// spreadLoad moves parts of the most used target's ranges to the one with most room.
func (p *planner) spreadLoad() {
	for n := 0; n < p.opts.MaxMoves; n++ {
		from, mean := p.mostUtilised(), p.meanUtilisation()
		if from == nil || from.utilisation() < p.opts.HighUtilisation || from.utilisation() < p.opts.Imbalance*mean {
			return
		}
		if !p.offload(from, mean) {
			from.nothingToMove = true
		}
	}
}

// relieve moves something away from a target. It returns false if nothing may move.
func (p *planner) offload(from *planTarget, mean float64) bool {
	to := p.mostSpareCapacity(from)
	if to == nil {
		return false
	}
	if i, key, ok := p.hotKey(from); ok {
		return p.moveHotKey(i, key, from) || p.moveOtherKeys(key, from, to)
	}
	// What evens both out, and no more than brings the hot one to the mean.
	rate := min((from.utilisation()-mean)*from.Capacity, (from.utilisation()-to.utilisation())/(1/from.Capacity+1/to.Capacity))
	return p.moveRate(from, to, rate)
}

// roomiest returns the target with the most capacity left, other than the one given.
func (p *planner) mostSpareCapacity(except *planTarget) *planTarget {
	var best *planTarget
	for _, t := range p.targets {
		if t != except && (best == nil || t.Capacity-t.rate > best.Capacity-best.rate) {
			best = t
		}
	}
	return best
}

// heavyKey returns a key that takes a large share of its owner's capacity by
// itself, and the index of its range. Such a key cannot be divided: it is best
// served by a fast target that has little else.
func (p *planner) hotKey(t *planTarget) (int, Key, bool) {
	for i, o := range p.owned {
		if p.currentOwner(o) != t {
			continue
		}
		if keys, _, ok := p.load.Narrowest(o.Keys, p.opts.HotKeyShare*t.Capacity); ok && keys.Size() == 1 {
			return i, keys.From, true
		}
	}
	return 0, 0, false
}

// moveHeavy moves a heavy key to a clearly faster target, if there is one.
func (p *planner) moveHotKey(i int, key Key, from *planTarget) bool {
	o := p.owned[i]
	minStay := p.opts.MinStay
	if o.Keys.Size() == 1 {
		// It was moved as a heavy key before.
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

// moveBeside moves a part of a target's ranges that does not hold its heavy key.
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

// mayMove reports whether a range of the target may move for load.
func (p *planner) mayMove(o OwnedRange, t *planTarget) bool {
	return p.currentOwner(o) == t && o.Settled && p.now-o.Since >= p.opts.MinStay
}

// moveRate moves the narrowest part with the rate from one target to another.
func (p *planner) moveRate(from, to *planTarget, rate float64) bool {
	best, bestKeys := -1, KeyRange{}
	for i, o := range p.owned {
		if !p.mayMove(o, from) {
			continue
		}
		keys, got, ok := p.load.Narrowest(o.Keys, rate)
		if !ok || to.rate+got >= from.rate {
			continue
		}
		if best < 0 || keys.Size() < bestKeys.Size() {
			best, bestKeys = i, keys
		}
	}
	if best < 0 {
		return false
	}
	p.transfer(best, bestKeys, from, to)
	return true
}
