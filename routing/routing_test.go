package routing

import (
	"testing"

	"github.com/matryer/is"
)

func testConfig() *Config {
	return &Config{
		Version:  1,
		Services: []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "short", Host: "One.example", Prefix: "/x/", Services: []WeightedService{{"a", 1}}},
			{Name: "long", Host: "one.example", Prefix: "/x/y/", Services: []WeightedService{{"a", 90}, {"b", 10}}},
			{Name: "other", Host: "two.example", Prefix: "/", Services: []WeightedService{{"b", 1}}},
		},
	}
}

func TestLongestPrefixOfHostWins(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{"one.example", "/x/1", "short"},
		{"ONE.example:8080", "/x/y/1", "long"},
		{"one.example", "/x/y", "short"},
		{"one.example", "/x", ""},
		{"two.example", "/x/y/", "other"},
		{"three.example", "/x/", ""},
	}
	is := is.New(t)
	table := NewTable(testConfig())
	is.Equal(len(table.Problems), 0)
	for _, tt := range tests {
		got := ""
		if e := table.Lookup(tt.host, tt.path); e != nil {
			got = e.Name
		}
		is.Equal(got, tt.want)
	}
}

func TestWeightsHoldInEachRunOfRequests(t *testing.T) {
	is := is.New(t)
	table := NewTable(testConfig())
	is.Equal(len(table.Problems), 0)
	e := table.Lookup("one.example", "/x/y/")
	for range 50 {
		n := 0
		for range 20 {
			if e.ChooseService(7) == "b" {
				n++
			}
		}
		is.Equal(n, 2)
	}
}

// The requests of a route that is not valid must be refused, also those that a route with a shorter
// prefix would match. All other routes must be served.
func TestInvalidRouteRefusesItsRequestsOnly(t *testing.T) {
	faults := map[string]func(*Route){
		"no trailing slash": func(r *Route) { r.Prefix = "/x/y" },
		"unknown services":  func(r *Route) { r.Services = []WeightedService{{"c", 1}} },
		"no services":       func(r *Route) { r.Services = nil },
		"zero weights":      func(r *Route) { r.Services = []WeightedService{{"a", 0}} },
		"negative weight":   func(r *Route) { r.Services[1].Weight = -1 },
		"weights overflow":  func(r *Route) { r.Services[0].Weight, r.Services[1].Weight = 1<<62, 1<<62 },
		"not understood":    func(r *Route) { r.Unserved = "its services are not known" },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := testConfig()
			fault(&c.Routes[1])
			table := NewTable(c)
			is.True(len(table.Problems) > 0)
			for _, p := range table.Problems {
				is.Equal(p.Cause, CauseRoute)
				is.Equal(p.Part, "long")
			}
			is.True(table.Lookup("one.example", "/x/y/1").Unserved != "")
			is.Equal(table.Lookup("one.example", "/x/1").Unserved, "")
			is.Equal(table.Lookup("two.example", "/1").ChooseService(0), "b")
		})
	}
}

// A route whose prefix matches nothing is left out.
func TestRouteWithoutLeadingSlashIsLeftOut(t *testing.T) {
	is := is.New(t)
	c := testConfig()
	c.Routes[1].Prefix = "x/y/"
	table := NewTable(c)
	is.Equal(len(table.Problems), 1)
	is.Equal(table.Lookup("one.example", "/x/y/1").Name, "short")
}

// A service that is not configured must cost only its own share of a route's requests.
func TestUnknownServiceCostsItsShareOnly(t *testing.T) {
	is := is.New(t)
	c := testConfig()
	c.Routes[1].Services[1].Service = "c"
	table := NewTable(c)
	is.Equal(len(table.Problems), 1)
	e := table.Lookup("one.example", "/x/y/1")
	is.Equal(e.Unserved, "")
	n := 0
	for range 100 {
		if table.Service(e.ChooseService(0)) == nil {
			n++
		}
	}
	is.Equal(n, 10)
}
