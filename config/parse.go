package config

import (
	"fmt"
	"io"
	"regexp"
	"strings"
	"time"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/settings"
)

// Types of sections in a bundle document. The headers of tenants, classes and pools
// also hold a quoted name: [tenant "wales"], [class "wales/tolerance-sheet"],
// [pool "sheets"].
const (
	bundleSection = "bundle"
	tenantSection = "tenant"
	classSection  = "class"
	poolSection   = "pool"
)

// MaxDocumentBytes is the largest size of a bundle document. It leaves room for the
// signatures, which are kept in the same object of the store.
const MaxDocumentBytes = 512 << 10

var (
	namedSection = regexp.MustCompile(`^(tenant|class|pool) "([^"]*)"$`)
	validName    = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	validPrefix  = regexp.MustCompile(`^/([A-Za-z0-9._~-]+/)*$`)
)

type bundleKeys struct {
	Version            uint64 `ini:"version" required:"true" range:"1.." doc:"Version of the bundle; higher in each new bundle."`
	LinkBytesPerSecond int64  `ini:"link_bytes_per_second" range:"1.." default:"100000000" unit:"bytes per second" doc:"Budget for bulk transfers between each pair of regions, over all VMs."`
}

type tenantKeys struct{}

type classKeys struct {
	Kind        string        `ini:"kind" required:"true" enum:"keyed-read,at-most-once,bulk" doc:"How requests may be executed."`
	PathPrefix  string        `ini:"path_prefix" required:"true" doc:"Path prefix that selects the class; starts and ends with a slash. The longest match wins. The path segment after it is the key of a keyed class."`
	Pool        string        `ini:"pool" required:"true" doc:"Pool that serves the class. Keyed reads need a keyed pool, other kinds a pool that is not keyed; bulk classes share no pool with classes of other kinds."`
	Deadline    time.Duration `ini:"deadline" default:"1s" range:"1ms..24h" doc:"Longest duration of a whole request; a caller may ask for less."`
	MaxBody     int           `ini:"max_body" default:"1048576" range:"0..1099511627776" unit:"bytes" doc:"Largest request body."`
	QueueLength int           `ini:"queue_length" default:"100" range:"0..1000000" unit:"requests" doc:"Largest number of requests that wait on one entry."`
	Rate        float64       `ini:"rate" default:"0" range:"0..10000000" unit:"requests per second" doc:"Rate that one entry admits; 0 is unlimited."`
	Burst       int           `ini:"burst" default:"0" range:"0..10000000" unit:"requests" doc:"Requests that one entry admits at once above the rate; at least 1 if a rate is set."`
	Hedge       bool          `ini:"hedge" default:"false" doc:"Allow a second attempt of a slow keyed read."`
}

type poolKeys struct {
	Keyed             bool          `ini:"keyed" default:"false" doc:"Whether each key has one owning target."`
	Groups            []string      `ini:"groups" required:"true" doc:"Groups of the pool; a pool that is not keyed has one. A group belongs to one pool."`
	TargetSlots       int           `ini:"target_slots" required:"true" range:"1..100000" unit:"requests" doc:"Largest number of requests that one target runs at once; at most target_connections."`
	TargetConnections int           `ini:"target_connections" required:"true" range:"1..1000000" unit:"connections" doc:"Largest number of connections that one target accepts from all VMs together."`
	ChecksTokens      bool          `ini:"checks_tokens" default:"false" doc:"Whether the targets refuse old fencing tokens and expired leases."`
	ProbeInterval     time.Duration `ini:"probe_interval" default:"1s" range:"50ms..10m" doc:"Shortest time between two health probes of a target."`
}

// WriteMarkdown writes a table of the keys of each type of section to w.
func WriteMarkdown(w io.Writer) error {
	return settings.WriteMarkdown(w, &struct {
		Bundle bundleKeys `ini:"bundle"`
		Tenant tenantKeys `ini:"tenant \"NAME\"" doc:"Requests name their tenant in the header Basiltally-Tenant; a single tenant is the default. A tenant has no keys, but at least one class."`
		Class  classKeys  `ini:"class \"TENANT/NAME\""`
		Pool   poolKeys   `ini:"pool \"NAME\""`
	}{})
}

// parser collects the bundle and the errors of one document.
type parser struct {
	file   string
	bundle Bundle
	errs   settings.Errors
	// classes lists the classes of all tenants, until they are added to their tenants.
	classes []Class
	// classTenants holds the tenant name of each element of classes.
	classTenants []string
}

// Parse parses a bundle document and checks it. The returned error is a settings.Errors
// that lists all errors of the document; name is the file name in them.
func Parse(name string, data []byte) (*Bundle, error) {
	if len(data) > MaxDocumentBytes {
		reason := fmt.Sprintf("%d bytes exceed the limit of %d", len(data), MaxDocumentBytes)
		return nil, settings.Errors{{File: name, Reason: reason}}
	}
	p := &parser{file: name}
	sections, errs := settings.ParseSections(name, data)
	p.errs = errs
	hasBundle := false
	for _, s := range sections {
		hasBundle = hasBundle || s.Name == bundleSection
		p.parseSection(s)
	}
	if !hasBundle {
		p.addError(bundleSection, "", "section is missing")
	}
	p.addClassesToTenants()
	p.check()
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	return &p.bundle, nil
}

func (p *parser) addError(section, key, format string, args ...any) {
	p.errs = append(p.errs, settings.Error{File: p.file, Section: section, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) parseSection(s *settings.Section) {
	if s.Name == bundleSection {
		p.parseBundle(s)
		return
	}
	match := namedSection.FindStringSubmatch(s.Name)
	if match == nil {
		p.addError(s.Name, "", "unknown section")
		return
	}
	kind, name := match[1], match[2]
	switch kind {
	case tenantSection:
		p.parseTenant(s, name)
	case classSection:
		p.parseClass(s, name)
	case poolSection:
		p.parsePool(s, name)
	}
}

func (p *parser) parseBundle(s *settings.Section) {
	var keys bundleKeys
	p.errs = append(p.errs, s.Decode(&keys)...)
	p.bundle.Version = keys.Version
	p.bundle.LinkBytesPerSecond = keys.LinkBytesPerSecond
}

func (p *parser) parseTenant(s *settings.Section, name string) {
	p.errs = append(p.errs, s.Decode(&tenantKeys{})...)
	p.checkName(s.Name, name)
	p.bundle.Tenants = append(p.bundle.Tenants, Tenant{Name: name})
}

func (p *parser) parseClass(s *settings.Section, name string) {
	var keys classKeys
	p.errs = append(p.errs, s.Decode(&keys)...)
	tenant, class, ok := strings.Cut(name, "/")
	if !ok {
		p.addError(s.Name, "", "want a name of the form tenant/class")
		return
	}
	p.checkName(s.Name, class)
	p.classTenants = append(p.classTenants, tenant)
	p.classes = append(p.classes, Class{
		Name:        class,
		Kind:        Kind(keys.Kind),
		PathPrefix:  keys.PathPrefix,
		Pool:        keys.Pool,
		Deadline:    keys.Deadline,
		MaxBody:     keys.MaxBody,
		QueueLength: keys.QueueLength,
		Rate:        keys.Rate,
		Burst:       keys.Burst,
		Hedge:       keys.Hedge,
	})
}

func (p *parser) parsePool(s *settings.Section, name string) {
	var keys poolKeys
	p.errs = append(p.errs, s.Decode(&keys)...)
	p.checkName(s.Name, name)
	pool := Pool{
		Name:              name,
		Keyed:             keys.Keyed,
		TargetSlots:       keys.TargetSlots,
		TargetConnections: keys.TargetConnections,
		ChecksTokens:      keys.ChecksTokens,
		ProbeInterval:     keys.ProbeInterval,
	}
	for _, g := range keys.Groups {
		pool.Groups = append(pool.Groups, ownership.GroupID(g))
	}
	p.bundle.Pools = append(p.bundle.Pools, pool)
}

func (p *parser) checkName(section, name string) {
	if !validName.MatchString(name) {
		p.addError(section, "", "%q: want a name of 1 to 63 lower-case letters, digits and hyphens", name)
	}
}

// addClassesToTenants appends each class to the classes of its tenant.
func (p *parser) addClassesToTenants() {
	index := make(map[string]int, len(p.bundle.Tenants))
	for i, t := range p.bundle.Tenants {
		index[t.Name] = i
	}
	for i, class := range p.classes {
		at, ok := index[p.classTenants[i]]
		if !ok {
			p.addError(classSectionName(p.classTenants[i], class.Name), "", "unknown tenant %q", p.classTenants[i])
			continue
		}
		p.bundle.Tenants[at].Classes = append(p.bundle.Tenants[at].Classes, class)
	}
}

func tenantSectionName(name string) string { return fmt.Sprintf("%s %q", tenantSection, name) }
func classSectionName(tenant, name string) string {
	return fmt.Sprintf("%s %q", classSection, tenant+"/"+name)
}
func poolSectionName(name string) string { return fmt.Sprintf("%s %q", poolSection, name) }
