package shard

// minWarmShare is the share of the capacity of all targets that those that are not cold must have, so that the cold ones own no
// keys. A target that takes over more than twice its share of the keys would be overloaded in turn.
const minWarmShare = 0.5

// limitedTo returns the target with the rate that it can handle while it is cold as its capacity.
func (p PlanTarget) limitedTo(perSecond float64) PlanTarget {
	if perSecond < p.Capacity {
		p.FullCapacity = max(p.FullCapacity, p.Capacity)
		p.Capacity = perSecond
	}
	return p
}

// fullCapacity returns what the target could serve without a limit.
func (p PlanTarget) fullCapacity() float64 { return max(p.Capacity, p.FullCapacity) }

// withColdIfNeeded returns those of the targets that may own keys, given the rates that the cold ones can handle: the warm ones,
// and the cold ones too if the warm ones have less than minWarmShare of the capacity.
func withColdIfNeeded(targets []PlanTarget, coldPerSecond map[string]float64) []PlanTarget {
	if len(coldPerSecond) == 0 {
		return targets
	}
	var warm, cold []PlanTarget
	warmCapacity, total := 0.0, 0.0
	for _, p := range targets {
		total += p.fullCapacity()
		if perSecond, ok := coldPerSecond[p.Holder.ID]; ok {
			cold = append(cold, p.limitedTo(perSecond))
			continue
		}
		warm = append(warm, p)
		warmCapacity += p.fullCapacity()
	}
	if warmCapacity >= minWarmShare*total {
		return warm
	}
	return append(warm, cold...)
}
