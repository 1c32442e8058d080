package routing_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/routing"
)

// Guards against keys in regions that a route does not allow, and against restrictions by routes that send nothing.
func TestAllowedRegionsOfAService(t *testing.T) {
	is := is.New(t)
	route := func(prefix string, regions []string, services ...routing.WeightedService) routing.Route {
		return routing.Route{Name: prefix, Host: "h", Prefix: prefix, Services: services, AllowedRegions: regions}
	}
	to := func(name string, weight int) routing.WeightedService {
		return routing.WeightedService{Service: name, Weight: weight}
	}
	table := routing.NewTable(&routing.Config{
		Version:  1,
		Services: []routing.Service{{Name: "s", Keyed: true}, {Name: "free"}, {Name: "torn"}},
		Routes: []routing.Route{
			route("/all/", nil, to("s", 1), to("free", 1)),
			route("/two/", []string{"a", "b"}, to("s", 1)),
			route("/other/", []string{"b", "c"}, to("s", 9), to("torn", 1)),
			route("/weightless/", []string{"c"}, to("s", 0), to("torn", 1)),
			route("unserved", []string{"c"}, to("s", 1)),
		},
	})
	regions, restricted := table.AllowedRegions("s")
	is.True(restricted)
	is.Equal(regions, []string{"b"})
	_, restricted = table.AllowedRegions("free")
	is.True(!restricted)
	regions, restricted = table.AllowedRegions("torn")
	is.True(restricted)
	is.True(slices.Equal(regions, []string{"c"}))
	regions, _ = table.AllowedRegions("s")
	is.Equal(regions, []string{"b"}) // The lists of the routes are unchanged.
}
