package main

import (
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/store"
)

func TestTargetsTakeConsecutivePortsAndLocationsInTurn(t *testing.T) {
	is := is.New(t)
	f := Flags{
		Targets:   map[string]string{"sheets": "3@127.0.0.1:7100"},
		Keyed:     []string{"sheets"},
		Locations: []string{"south/s1", "north/n1"},
	}
	specs, err := f.targetSpecs()
	is.NoErr(err)
	is.Equal(len(specs), 3)
	is.True(specs[0].keyed)
	is.Equal(specs[2].vm, store.VM{
		ID: "sheets-2", Address: "127.0.0.1:7102", Region: "south", DataCentre: "s1", Kind: "target", Pool: "sheets",
	})
}

func TestInvalidFlags(t *testing.T) {
	tests := []struct {
		name  string
		flags Flags
	}{
		{"no count", Flags{Targets: map[string]string{"sheets": "127.0.0.1:7100"}, Locations: []string{"a/b"}}},
		{"zero targets", Flags{Targets: map[string]string{"sheets": "0@127.0.0.1:7100"}, Locations: []string{"a/b"}}},
		{"no port", Flags{Targets: map[string]string{"sheets": "1@127.0.0.1"}, Locations: []string{"a/b"}}},
		{"port is a name", Flags{Targets: map[string]string{"sheets": "1@127.0.0.1:http"}, Locations: []string{"a/b"}}},
		{"no data centre", Flags{Locations: []string{"south"}}},
	}
	for _, tt := range tests {
		if _, err := tt.flags.targetSpecs(); err == nil {
			t.Errorf("%s: got no error", tt.name)
		}
	}
	f := Flags{Entries: map[string]string{"vm1": "127.0.0.1:1"}}
	if _, err := f.entryVMs(); err == nil {
		t.Error("entry without a location: got no error")
	}
}
