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
	Fresh bool
}

// PlanOptions bound what one plan changes.
type PlanOptions struct {
	// HighUse is the share of its capacity above which a target gives keys away.
	// Default 0.6: above it the queues of six slots grow.
	HighUse float64
	// Imbalance is how many times the mean use a target must have to give keys away.
	// Default 1.5.
	Imbalance float64
	// MaxMoves bounds the moves for load in one plan. Default 8.
	MaxMoves int
	// Rest is how long a range stays with its owner before it moves for load. Default
	// 500 ms, several reports.
	Rest time.Duration
	// HeavyShare is the share of its owner's capacity from which a key is heavy.
	// Default 0.4.
	HeavyShare float64
	// Faster is how many times its owner's capacity a target must have to get a
	// heavy key. Default 1.25.
	Faster float64
	// HeavyRest is how long a heavy key stays with its owner. Default 10 s: each move
	// stalls it until its running work has ended, and hot spots last about 5 s.
	HeavyRest time.Duration
}

func (o PlanOptions) withDefaults() PlanOptions {
	o.HighUse = cmp.Or(o.HighUse, 0.6)
	o.Imbalance = cmp.Or(o.Imbalance, 1.5)
	o.MaxMoves = cmp.Or(o.MaxMoves, 8)
	o.Rest = cmp.Or(o.Rest, 500*time.Millisecond)
	o.HeavyShare = cmp.Or(o.HeavyShare, 0.4)
	o.Faster = cmp.Or(o.Faster, 1.25)
	o.HeavyRest = cmp.Or(o.HeavyRest, 10*time.Second)
	return o
}

// planner is the state of one plan: the projected owners and loads.
type planner struct {
	opts    PlanOptions
	now     time.Duration
	load    *Load
	owned   []Owned
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
	done bool
}

func (t *planTarget) use() float64 { return t.rate / t.Capacity }

// before reports whether t is to get keys before o: by use, without load by size.
func (t *planTarget) before(o *planTarget) bool {
	return cmp.Or(cmp.Compare(t.use(), o.use()), cmp.Compare(t.keys, o.keys)) < 0
}

// Plan returns the moves that are due, most needed first: ranges whose owner
// cannot go on, keys without an owner, shares for targets without keys, and parts
// of ranges whose owner gets more requests than it can serve. The last answers a
// hot spot: many requests for a few neighbouring keys of one owner.
func Plan(owned []Owned, targets []PlanTarget, load *Load, opts PlanOptions, now time.Duration) []Move {
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
		return p.divide()
	}
	for _, o := range p.owned {
		if t := p.owner(o); t != nil {
			t.take(o.Keys, load.Of(o.Keys))
		}
	}
	p.meanRate = load.Of(AllKeys) / float64(len(targets))
	p.replaceOwners()
	p.fillGaps()
	p.startFresh()
	p.spreadLoad()
	return p.moves
}

// owner returns the target that goes on with a range, or nil.
func (p *planner) owner(o Owned) *planTarget {
	t := p.byID[o.Owner.ID]
	if t == nil || t.Holder != o.Owner || o.MustMove {
		return nil
	}
	return t
}

func (t *planTarget) take(keys KeyRange, rate float64) {
	t.rate += rate
	t.keys += keys.Size()
	t.Fresh = false
}

// divide makes the first table: a range for each target, by capacity.
func (p *planner) divide() []Move {
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
		if p.owner(o) != nil {
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
func (p *planner) distribute(i int, o Owned) {
	rest := o.Keys
	for {
		t := p.leastUsed(o.Owner.ID)
		if t == nil {
			return
		}
		part := rest
		if room := p.meanRate / 2; p.load.Of(rest) > room {
			part = p.prefix(rest, room)
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
	t.take(keys, p.load.Of(keys))
	if keys == p.owned[i].Keys {
		p.owned[i].Owner, p.owned[i].Settled, p.owned[i].MustMove = t.Holder, false, false
	}
}

// leastUsed returns the target with the least use, other than the one named.
func (p *planner) leastUsed(except string) *planTarget {
	var best *planTarget
	for _, t := range p.targets {
		if t.Holder.ID == except {
			continue
		}
		if best == nil || t.before(best) {
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
			p.fill(KeyRange{Key(next), o.Keys.From - 1})
		}
		next = int(o.Keys.To) + 1
	}
	if next <= int(LastKey) {
		p.fill(KeyRange{Key(next), LastKey})
	}
}

func (p *planner) fill(keys KeyRange) {
	t := p.leastUsed("")
	p.moves = append(p.moves, Move{keys, t.Holder})
	t.take(keys, p.load.Of(keys))
}

// startFresh gives each target without keys a part of the most used one's largest range.
func (p *planner) startFresh() {
	for _, t := range p.targets {
		if !t.Fresh {
			continue
		}
		i := p.largestOfMostUsed()
		if i < 0 {
			return
		}
		keys := p.owned[i].Keys
		from := p.byID[p.owned[i].Owner.ID]
		half := p.half(keys)
		p.give(i, half, from, t)
	}
}

// largestOfMostUsed returns the index of the range to divide for a fresh target, or -1.
func (p *planner) largestOfMostUsed() int {
	best, bestScore := -1, 0.0
	for i, o := range p.owned {
		t := p.owner(o)
		if t == nil || !o.Settled || o.Keys.Size() < 2 {
			continue
		}
		// Without load, the size decides.
		score := p.load.Of(o.Keys)/t.Capacity + float64(o.Keys.Size())/float64(AllKeys.Size())
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// half returns the upper part of the keys that has about half of their load.
func (p *planner) half(keys KeyRange) KeyRange {
	total := p.load.Of(keys)
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
func (p *planner) give(i int, part KeyRange, from, to *planTarget) {
	rate := p.load.Of(part)
	from.rate -= rate
	from.keys -= part.Size()
	to.take(part, rate)
	p.moves = append(p.moves, Move{part, to.Holder})
	o := p.owned[i]
	var pieces []Owned
	if o.Keys.From < part.From {
		left := o
		left.Keys.To = part.From - 1
		pieces = append(pieces, left)
	}
	pieces = append(pieces, Owned{Keys: part, Owner: to.Holder, Since: p.now})
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
		hot, mean := p.mostUsed(), p.meanUse()
		if hot == nil || hot.use() < p.opts.HighUse || hot.use() < p.opts.Imbalance*mean {
			return
		}
		if !p.relieve(hot, mean) {
			hot.done = true
		}
	}
}

// relieve moves something away from a target. It returns false if nothing may move.
func (p *planner) relieve(hot *planTarget, mean float64) bool {
	cold := p.roomiest(hot)
	if cold == nil {
		return false
	}
	if i, key, ok := p.heavyKey(hot); ok {
		return p.moveHeavy(i, key, hot) || p.moveBeside(key, hot, cold)
	}
	// What evens both out, and no more than brings the hot one to the mean.
	rate := min((hot.use()-mean)*hot.Capacity, (hot.use()-cold.use())/(1/hot.Capacity+1/cold.Capacity))
	return p.moveRate(hot, cold, rate)
}

// roomiest returns the target with the most capacity left, other than the one given.
func (p *planner) roomiest(except *planTarget) *planTarget {
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
func (p *planner) heavyKey(t *planTarget) (int, Key, bool) {
	for i, o := range p.owned {
		if p.owner(o) != t {
			continue
		}
		if keys, _, ok := p.load.Narrowest(o.Keys, p.opts.HeavyShare*t.Capacity); ok && keys.Size() == 1 {
			return i, keys.From, true
		}
	}
	return 0, 0, false
}

// moveHeavy moves a heavy key to a clearly faster target, if there is one.
func (p *planner) moveHeavy(i int, key Key, from *planTarget) bool {
	o := p.owned[i]
	rest := p.opts.Rest
	if o.Keys.Size() == 1 {
		// It was moved as a heavy key before.
		rest = p.opts.HeavyRest
	}
	if !o.Settled || p.now-o.Since < rest {
		return false
	}
	var best *planTarget
	for _, t := range p.targets {
		if _, _, heavy := p.heavyKey(t); heavy || t.Capacity < p.opts.Faster*from.Capacity {
			continue
		}
		if best == nil || t.Capacity-t.rate > best.Capacity-best.rate {
			best = t
		}
	}
	if best == nil {
		return false
	}
	p.give(i, KeyRange{key, key}, from, best)
	return true
}

// moveBeside moves a part of a target's ranges that does not hold its heavy key.
func (p *planner) moveBeside(key Key, from, to *planTarget) bool {
	for i, o := range p.owned {
		if !p.mayMove(o, from) || p.load.Of(o.Keys) <= 0 {
			continue
		}
		switch {
		case !o.Keys.Contains(KeyRange{key, key}):
			p.give(i, o.Keys, from, to)
		case key > o.Keys.From && p.load.Of(KeyRange{o.Keys.From, key - 1}) > 0:
			p.give(i, KeyRange{o.Keys.From, key - 1}, from, to)
		case key < o.Keys.To && p.load.Of(KeyRange{key + 1, o.Keys.To}) > 0:
			p.give(i, KeyRange{key + 1, o.Keys.To}, from, to)
		default:
			continue
		}
		return true
	}
	return false
}

func (p *planner) meanUse() float64 {
	rate, capacity := 0.0, 0.0
	for _, t := range p.targets {
		rate += t.rate
		capacity += t.Capacity
	}
	return rate / capacity
}

func (p *planner) mostUsed() *planTarget {
	var best *planTarget
	for _, t := range p.targets {
		if !t.done && (best == nil || t.use() > best.use()) {
			best = t
		}
	}
	return best
}

// mayMove reports whether a range of the target may move for load.
func (p *planner) mayMove(o Owned, t *planTarget) bool {
	return p.owner(o) == t && o.Settled && p.now-o.Since >= p.opts.Rest
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
	p.give(best, bestKeys, from, to)
	return true
}
