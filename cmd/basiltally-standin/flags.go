package main

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/store"
)

// Flags is the command line.
type Flags struct {
	Store     string            `help:"Listen address of the object API and VM list." default:"127.0.0.1:7000" placeholder:"HOST:PORT"`
	Targets   map[string]string `help:"Number of targets per pool and address of its first target; the others take the ports that follow." mapsep:"," placeholder:"POOL=COUNT@HOST:PORT"`
	Keyed     []string          `help:"Pools whose targets refuse requests without a granted slot." placeholder:"POOL"`
	Unchecked []string          `help:"Pools whose targets do not check fencing tokens." placeholder:"POOL"`
	Locations []string          `help:"Locations to which the targets of a pool are assigned in turn." default:"local/local-1" placeholder:"REGION/DATA-CENTRE"`
	Entries   map[string]string `help:"VMs of the system that the VM list contains." mapsep:"," placeholder:"ID=HOST:PORT/REGION/DATA-CENTRE"`

	Slots        int           `help:"Number of requests that one target runs at once." default:"6"`
	Queue        int           `help:"Number of requests that may wait for a slot of one target." default:"12"`
	Work         time.Duration `help:"Time that a request runs, unless it asks for another time with work_ms=N." default:"0s"`
	BulkPrefixes []string      `help:"Path prefixes whose requests are answered with a large body." default:"/archive/,/drawings/" placeholder:"PATH"`
	BulkBytes    int           `help:"Size of a large body in bytes, unless the request asks for another size with bytes=N." default:"1048576"`

	MaxConnections  int           `help:"Number of connections that one target accepts; 0 means no limit." default:"0"`
	ConnectCost     time.Duration `help:"Processor time that a target spends on each new connection." default:"0s"`
	ProbeCost       time.Duration `help:"Processor time that a target spends on each health call." default:"0s"`
	WritesPerSecond float64       `help:"Writes per second that the object API accepts; 0 means no limit." default:"0"`
	ReadsPerSecond  float64       `help:"Reads per second that the object API accepts, waiting watches included; 0 means no limit." default:"0"`

	Version kong.VersionFlag `help:"Print the version and exit."`
}

// location is a region and a data centre of the platform.
type location struct{ region, dataCentre string }

// targetSpec is one target to start.
type targetSpec struct {
	vm        store.VM
	keyed     bool
	unchecked bool
}

func parseLocations(texts []string) ([]location, error) {
	var locations []location
	for _, text := range texts {
		region, dataCentre, ok := strings.Cut(text, "/")
		if !ok || region == "" || dataCentre == "" {
			return nil, errors.Errorf("invalid location %q: want REGION/DATA-CENTRE", text)
		}
		locations = append(locations, location{region, dataCentre})
	}
	if len(locations) == 0 {
		return nil, errors.New("no location is given")
	}
	return locations, nil
}

// targetSpecs returns the targets of all pools.
func (f *Flags) targetSpecs() ([]targetSpec, error) {
	locations, err := parseLocations(f.Locations)
	if err != nil {
		return nil, err
	}
	var specs []targetSpec
	for pool, text := range f.Targets {
		vms, err := poolVMs(pool, text, locations)
		if err != nil {
			return nil, errors.WithMessagef(err, "targets of pool %s", pool)
		}
		for _, vm := range vms {
			specs = append(specs, targetSpec{
				vm:        vm,
				keyed:     slices.Contains(f.Keyed, pool),
				unchecked: slices.Contains(f.Unchecked, pool),
			})
		}
	}
	return specs, nil
}

func poolVMs(pool, text string, locations []location) ([]store.VM, error) {
	countText, address, ok := strings.Cut(text, "@")
	if !ok {
		return nil, errors.Errorf("invalid value %q: want COUNT@HOST:PORT", text)
	}
	count, err := strconv.Atoi(countText)
	if err != nil || count < 1 {
		return nil, errors.Errorf("invalid count %q: want a positive integer", countText)
	}
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, errors.Errorf("invalid port %q: want an integer", portText)
	}
	vms := make([]store.VM, count)
	for i := range vms {
		loc := locations[i%len(locations)]
		vms[i] = store.VM{
			ID:         fmt.Sprintf("%s-%d", pool, i),
			Address:    net.JoinHostPort(host, strconv.Itoa(port+i)),
			Region:     loc.region,
			DataCentre: loc.dataCentre,
			Kind:       "target",
			Pool:       pool,
		}
	}
	return vms, nil
}

// entryVMs returns the VMs of the system, which the VM list contains in addition to the targets.
func (f *Flags) entryVMs() ([]store.VM, error) {
	var vms []store.VM
	for id, text := range f.Entries {
		parts := strings.Split(text, "/")
		if len(parts) != 3 {
			return nil, errors.Errorf("entry %s: invalid value %q: want HOST:PORT/REGION/DATA-CENTRE", id, text)
		}
		vms = append(vms, store.VM{
			ID:         id,
			Address:    parts[0],
			Region:     parts[1],
			DataCentre: parts[2],
			Kind:       "entry",
		})
	}
	return vms, nil
}
