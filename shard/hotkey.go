package shard

const (
	// hotKeyOverload is the multiple of its owner's capacity from which the requests for a key are
	// more than the owner can serve.
	hotKeyOverload = 1.2
	// hotKeyFill is the share of the owner's capacity that the requests for such a key may take.
	hotKeyFill = 0.9
	// vmsPerRequest is the number of VMs, for each request a second that the owner can serve, from which
	// shares are stated. With fewer VMs, each of them gets answers of the owner often enough to see
	// its load, and decides by that (package admission).
	vmsPerRequest = 8
)

// WholeShare is a share in thousandths that includes all requests.
const WholeShare = 1000

// HotKeyShares returns the shares of the requests, in thousandths, that the owners of hot keys can
// serve, for the keys with more requests than that. The load that it answers is one key that gets 40 %
// of the requests of a service, of which its owner can serve a fraction. Without a share, each of
// hundreds of VMs would send the owner its part of them, since none knows of the others. vms is the
// number of VMs.
func HotKeyShares(owned []OwnedRange, targets []PlanTarget, load *Load, vms int) map[Key]int {
	capacity := make(map[string]float64, len(targets))
	for _, t := range targets {
		c := t.Capacity
		if t.FullCapacity == 0 {
			c = max(c, t.Answered)
		}
		capacity[t.Holder.ID] = c
	}
	shares := map[Key]int{}
	for _, o := range owned {
		c := capacity[o.Owner.ID]
		if c == 0 || float64(vms) < vmsPerRequest*c {
			continue
		}
		keys, _, ok := load.Narrowest(o.Keys, hotKeyOverload*c)
		if !ok || keys.Size() != 1 {
			continue
		}
		rate := load.presentRate(keys.From)
		if rate < hotKeyOverload*c {
			continue
		}
		shares[keys.From] = max(int(WholeShare*hotKeyFill*c/rate), 1)
	}
	return shares
}
