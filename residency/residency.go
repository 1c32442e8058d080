// Package residency decides in which regions a request may be served. Lists of allowed regions
// may be set for a request in several places, such as its route and its caller's account.
package residency

import "slices"

// Allows reports whether a request with these lists of allowed regions may be sent to a target in
// the region. An empty list allows all regions. An unknown region, which is empty, is in no list.
func Allows(region string, lists ...[]string) bool {
	for _, list := range lists {
		if len(list) > 0 && (region == "" || !slices.Contains(list, region)) {
			return false
		}
	}
	return true
}

// Intersect returns the regions that are in each list that is not empty. It returns false if all
// lists are empty, which allows all regions. Lists that contradict each other allow none.
func Intersect(lists ...[]string) ([]string, bool) {
	var common []string
	restricted := false
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !restricted:
			common, restricted = slices.Clone(list), true
		default:
			common = slices.DeleteFunc(common, func(region string) bool { return !slices.Contains(list, region) })
		}
	}
	return common, restricted
}
