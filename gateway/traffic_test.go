package gateway

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basiltally/basiltally/placing"
	"github.com/basiltally/basiltally/routing"
	"github.com/basiltally/basiltally/upstream"
)

// Traffic between regions is billed, so that it must not be counted as that within one.
func TestTrafficIsCountedByDistanceAndCause(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	counter := newTrafficCounter(registry, placing.New(placing.Options{DataCentre: "a", Region: "r"}))
	c := &call{entry: &routing.Entry{Route: routing.Route{Kind: routing.Upload}}, cause: string(placing.CauseNoRoom)}
	request := &upstream.Request{Header: make([]byte, 100), Body: make([]byte, 900)}
	for _, candidate := range []placing.Candidate{{DataCentre: "a", Region: "r"}, {DataCentre: "b", Region: "r"}, {DataCentre: "c", Region: "q"}} {
		counter.count(c, &candidate, request, &upstream.Answer{Header: make([]byte, 50), Body: make([]byte, 450)})
	}
	counter.count(c, &placing.Candidate{DataCentre: "c", Region: "q"}, request, nil)
	families, err := registry.Gather()
	is.NoErr(err)
	is.Equal(len(families), 1)
	got := map[string]float64{}
	for _, m := range families[0].GetMetric() {
		labels := ""
		for _, l := range m.GetLabel() {
			labels += l.GetValue() + " "
		}
		got[labels] = m.GetCounter().GetValue()
	}
	is.Equal(got, map[string]float64{
		"no_room data_centre " + routing.Upload.String() + " ":  1500,
		"no_room region " + routing.Upload.String() + " ":       1500,
		"no_room other_region " + routing.Upload.String() + " ": 2500,
	})
}
