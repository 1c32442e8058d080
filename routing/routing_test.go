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
	table, err := NewTable(testConfig())
	is.NoErr(err)
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
	table, err := NewTable(testConfig())
	is.NoErr(err)
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

func TestInvalidConfigsAreRejected(t *testing.T) {
	faults := map[string]func(*Config){
		"no trailing slash": func(c *Config) { c.Routes[0].Prefix = "/x" },
		"unknown service":   func(c *Config) { c.Routes[0].Services[0].Service = "c" },
		"no services":       func(c *Config) { c.Routes[0].Services = nil },
		"zero weights":      func(c *Config) { c.Routes[0].Services[0].Weight = 0 },
		"negative weight":   func(c *Config) { c.Routes[1].Services[1].Weight = -1 },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			c := testConfig()
			fault(c)
			_, err := NewTable(c)
			is.New(t).True(err != nil)
		})
	}
}
