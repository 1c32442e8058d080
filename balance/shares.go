package balance

// Shares divides slots among entries in proportion to their demand and returns one
// share per demand. Every entry gets at least minShare, even if the sum then exceeds
// slots, because an entry without a slot could not serve any request before the next
// division.
func Shares(slots, minShare int, demand []int) []int {
	total := 0
	for _, d := range demand {
		total += d
	}
	shares := make([]int, len(demand))
	given := 0
	for i, d := range demand {
		if total > 0 {
			shares[i] = slots * d / total
		}
		given += shares[i]
	}
	distributeRemainder(shares, demand, slots-given)
	for i := range shares {
		shares[i] = max(shares[i], minShare)
	}
	return shares
}

// distributeRemainder distributes the slots that are left over after rounding, first
// to the entries with the highest demand per slot.
func distributeRemainder(shares, demand []int, remainder int) {
	for ; remainder > 0; remainder-- {
		best := -1
		for i, d := range demand {
			if d <= shares[i] {
				continue
			}
			if best < 0 || d*(shares[best]+1) > demand[best]*(shares[i]+1) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		shares[best]++
	}
}
