package shard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// spotUtilisation is the utilisation from which an owner of keys of a hot spot gives some of them away.
	spotUtilisation = 0.95
	// excessUtilisation is the utilisation from which an owner keeps keys of a hot spot for spotMinStay only: with a
	// queue that is always full, another stall of its keys costs less than waiting.
	excessUtilisation = 1.5
	spotMinStay       = 200 * time.Millisecond
	// maxFill bounds the utilisation up to which targets are filled that take over keys of a hot spot.
	maxFill = 0.9
	// overfillStep is the step by which targets are filled further if not all keys have room.
	overfillStep = 0.1
	// highestMean is the mean utilisation of all targets to which the expected rates of hot spots are reduced. Callers
	// that are refused try again, so that a hot spot seems to have several times its rate
	// until it is spread.
	highestMean = 0.8
	// fillSteps is the number of levels between FillUtilisation and maxFill that are tried.
	fillSteps = 16
)

// spreadSpots cuts the hot spots at once into as many parts as their expected rates take. Each part moves once,
// directly to a target that can serve it.
func (p *planner) spreadSpots() {
	for _, s := range p.spots {
		for i := 0; i < len(p.owned); i++ {
			o := p.owned[i]
			t := p.currentOwner(o)
			if t == nil || !o.Settled || !o.Keys.Overlaps(s.Keys) || t.utilisation() < spotUtilisation {
				continue
			}
			if stay := p.now - o.Since; stay < spotMinStay || stay < p.opts.MinStay && t.utilisation() < excessUtilisation {
				continue
			}
			i += p.cutUp(i, o.Keys.Overlap(s.Keys), t)
		}
	}
}

// limitSpots reduces the rates of the keys of hot spots, so that the targets together can serve them.
func (p *planner) limitSpots() {
	if len(p.spots) == 0 {
		return
	}
	capacity, total, spots := 0.0, p.load.Rate(AllKeys), 0.0
	for _, t := range p.targets {
		capacity += t.Capacity
	}
	for _, s := range p.spots {
		spots += p.load.Rate(s.Keys)
	}
	excess := total - highestMean*capacity
	if excess <= 0 || spots <= 0 {
		return
	}
	factor := float32(max(1-excess/spots, 0.1))
	for _, s := range p.spots {
		for k := int(s.Keys.From); k <= int(s.Keys.To); k++ {
			p.load.rates[k] *= factor
		}
	}
}

// cutUp distributes the keys, which are a part of range i, among their owner and targets with spare
// capacity. It returns how many ranges were added.
func (p *planner) cutUp(i int, keys KeyRange, owner *planTarget) int {
	before := len(p.owned)
	fill := p.fillLevel(keys, owner)
	// The owner keeps the first keys, as many as it can serve.
	kept := p.fitting(keys, fill*owner.Capacity-(owner.rate-p.load.Rate(keys)))
	next, end := int(keys.From)+kept, int(keys.To)+1
	// If the targets have no room for all keys, they share what is too much.
	for ; next < end && fill < owner.utilisation(); fill += overfillStep {
		for _, to := range p.receivers(owner, fill) {
			rest := KeyRange{Key(next), keys.To}
			n := p.fitting(rest, fill*to.Capacity-to.rate)
			if n == 0 {
				continue
			}
			part := KeyRange{rest.From, rest.From + Key(n-1)}
			p.transfer(p.indexOf(part, i), part, owner, to)
			if next += n; next == end {
				break
			}
		}
	}
	return len(p.owned) - before
}

// indexOf returns the index of the range that contains the part, at or after i.
func (p *planner) indexOf(part KeyRange, i int) int {
	for !p.owned[i].Keys.Contains(part) {
		i++
	}
	return i
}

// fitting returns how many of the first keys have at most the rate together.
func (p *planner) fitting(keys KeyRange, rate float64) int {
	sum := 0.0
	for n := range keys.Size() {
		sum += float64(p.load.rates[int(keys.From)+n])
		if sum > rate {
			return n
		}
	}
	return keys.Size()
}

// receivers returns the targets that are below the fill level, those with the most spare capacity first.
func (p *planner) receivers(owner *planTarget, fill float64) []*planTarget {
	var out []*planTarget
	for _, t := range p.targets {
		if t != owner && !t.limited() && t.rate < fill*t.Capacity {
			out = append(out, t)
		}
	}
	slices.SortStableFunc(out, func(a, b *planTarget) int {
		return cmp.Compare(fill*b.Capacity-b.rate, fill*a.Capacity-a.rate)
	})
	return out
}

// fillLevel returns the lowest utilisation of the targets at which they have room for the keys, whose load cannot be
// divided further than by key.
func (p *planner) fillLevel(keys KeyRange, owner *planTarget) float64 {
	rate := p.load.Rate(keys)
	perKey := max(rate/float64(keys.Size()), 1e-6)
	for step := range fillSteps {
		fill := p.opts.FillUtilisation + (maxFill-p.opts.FillUtilisation)*float64(step)/fillSteps
		room := 0
		for _, t := range p.targets {
			spare := fill*t.Capacity - t.rate
			if t == owner {
				spare += rate
			}
			if spare > 0 && !t.limited() {
				room += int(min(spare/perKey, float64(keys.Size())))
			}
		}
		if float64(room) >= 1.1*float64(keys.Size()) {
			return fill
		}
	}
	return maxFill
}
