// Package configcheck checks a configuration of basiltally-node before an operator sends it. It reports what the nodes would not
// take into force, entries without effect, values that contradict each other, and what differs from the version in force.
package configcheck

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/platform"
	"github.com/basiltally/basiltally/routing"
)

// Severity is how a finding counts.
type Severity string

const (
	// Error is something that the nodes ignore or that makes them refuse requests.
	Error Severity = "error"
	// Warning is something that is in force but most likely not what its author wants.
	Warning Severity = "warning"
	// Information needs no change, such as a difference from the version in force.
	Information Severity = "information"
)

// severities has the order in which findings are reported.
var severities = []Severity{Error, Warning, Information}

// Finding is one result of the check.
type Finding struct {
	Severity Severity `json:"severity"`
	// Check is the name of the rule, which does not change between releases.
	Check string `json:"check"`
	// Part names the route, service or limits.
	Part   string `json:"part"`
	Detail string `json:"detail"`
}

// Report has the findings, sorted by severity, part, check and detail.
type Report struct {
	// Version is that of the checked document, and InForce that of the document it was compared with; zero if it has none.
	Version  uint64    `json:"version"`
	InForce  uint64    `json:"in_force,omitempty"`
	Errors   int       `json:"errors"`
	Warnings int       `json:"warnings"`
	Findings []Finding `json:"findings"`
}

// OK reports whether there are neither errors nor warnings.
func (r Report) OK() bool { return r.Errors+r.Warnings == 0 }

// Text returns one line for each finding.
func (r Report) Text() string {
	if len(r.Findings) == 0 {
		return fmt.Sprintf("version %d: no findings\n", r.Version)
	}
	var out strings.Builder
	for _, f := range r.Findings {
		line := fmt.Sprintf("%-11s  %s: %s [%s]", f.Severity, f.Part, f.Detail, f.Check)
		// Text of the document must not break the line or control the terminal.
		out.WriteString(strings.Map(func(c rune) rune {
			if unicode.IsControl(c) {
				return unicode.ReplacementChar
			}
			return c
		}, line) + "\n")
	}
	return out.String()
}

// Check checks a document, and compares it with the one in force unless that is nil. Either may be the stored object, whose spec
// is the document.
func Check(document, inForce []byte) Report {
	c := checker{}
	next := c.decode(platform.PartConfig, document)
	if next != nil {
		c.report.Version = next.Version
		c.config, c.table = next, routing.NewTable(next)
		c.checkProblems()
		c.checkFields(platform.UnknownFields(platform.ConfigDocument(document)))
		c.checkRoutes()
		c.checkServices()
		c.checkLimits()
	}
	if inForce != nil {
		if previous := c.decode("version in force", inForce); previous != nil && next != nil {
			c.report.InForce = previous.Version
			c.compare(previous, next)
		}
	}
	return c.sorted()
}

// checker collects the findings on one configuration.
type checker struct {
	config *routing.Config
	table  *routing.Table
	report Report
}

func (c *checker) add(s Severity, check, part, format string, args ...any) {
	c.report.Findings = append(c.report.Findings, Finding{s, check, part, fmt.Sprintf(format, args...)})
}

// sorted returns the report in order, with its counts and without repeated findings.
func (c *checker) sorted() Report {
	r := c.report
	slices.SortFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(slices.Index(severities, a.Severity), slices.Index(severities, b.Severity)),
			cmp.Compare(a.Part, b.Part), cmp.Compare(a.Check, b.Check), cmp.Compare(a.Detail, b.Detail))
	})
	// Without findings the JSON document has an empty list, not null.
	r.Findings = append([]Finding{}, slices.Compact(r.Findings)...)
	for _, f := range r.Findings {
		switch f.Severity {
		case Error:
			r.Errors++
		case Warning:
			r.Warnings++
		}
	}
	return r
}

// decode returns nil for a document that the nodes ignore.
func (c *checker) decode(part string, document []byte) *routing.Config {
	config, err := platform.DecodeConfig(platform.ConfigDocument(document))
	if err == nil {
		return config
	}
	detail := err.Error()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		read := document[:min(syntax.Offset, int64(len(document)))]
		detail = fmt.Sprintf("line %d: %s", 1+bytes.Count(read, []byte("\n")), detail)
	}
	c.add(Error, "decode", part, "%s", detail)
	return nil
}

// checkProblems reports what the decoder and the routing table found.
func (c *checker) checkProblems() {
	for _, p := range c.table.Problems {
		part := routePart(p.Part)
		isRoute := slices.ContainsFunc(c.config.Routes, func(r routing.Route) bool { return r.Name == p.Part })
		switch {
		case p.Cause == routing.CauseField && p.Part == platform.PartLimits:
			part = platform.PartLimits
		case p.Cause == routing.CauseService, p.Cause == routing.CauseField && !isRoute && c.table.Service(p.Part) != nil:
			part = servicePart(p.Part)
		}
		c.add(Error, p.Cause, part, "%s", p.Detail)
	}
}

// checkFields reports fields that are not known. A misspelt one counts as missing, which for the allowed regions means that all
// are allowed.
func (c *checker) checkFields(parts []platform.ConfigPart) {
	for _, p := range parts {
		for _, f := range p.Fields {
			c.add(Warning, "unknown-field", p.String(), "%.64q is no known field; is it misspelt?", f.Name)
		}
	}
}

func routePart(name string) string {
	return platform.ConfigPart{Kind: platform.PartRoute, Name: name}.String()
}

func servicePart(name string) string {
	return platform.ConfigPart{Kind: platform.PartService, Name: name}.String()
}
