package operator

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/basiltally/basiltally/ownership"
)

// columnGap is the number of blanks between the columns of a table.
const columnGap = 2

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
}

// WriteStatus writes a table of the processes and one of the groups.
func WriteStatus(w io.Writer, answers []Answer) error {
	t := newTable(w)
	fmt.Fprintln(t, "ADDRESS\tVM\tBUNDLE\tVMS SEEN\tASSIGNS\tPROBLEM")
	for _, a := range answers {
		if a.Status == nil {
			fmt.Fprintf(t, "%s\t-\t-\t-\t-\t%s\n", a.Address, a.Error)
			continue
		}
		s := a.Status
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\n", a.Address, s.VM, s.BundleVersion, s.VMs, assigning(s), dash(s.BundleRefusal))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return WriteGroups(w, answers)
}

func assigning(s *Status) int {
	n := 0
	for _, g := range s.Groups {
		if g.Assigning {
			n++
		}
	}
	return n
}

func dash(s string) string {
	return cmp.Or(s, "-")
}

// GroupSummary is a group as the newest view of any process shows it.
type GroupSummary struct {
	Group
	// Assigners are the VMs that say they assign the group: one, or none for a
	// moment. Two are an alarm only if they persist, as statuses are not taken at
	// the same instant.
	Assigners []ownership.VMID `json:"assigners"`
	// Behind counts processes whose view is of an older term.
	Behind int `json:"behind"`
	// AssignerSilent is set if the assigner is not among the VMs that answered.
	AssignerSilent bool `json:"assigner_silent"`
}

// Groups sums up the groups over all processes, sorted by name.
func SummarizeGroups(answers []Answer) []GroupSummary {
	byName := make(map[ownership.GroupID]*GroupSummary)
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		for _, g := range a.Status.Groups {
			add(byName, a.Status.VM, g)
		}
	}
	for _, s := range byName {
		s.Behind = behind(answers, s)
		s.AssignerSilent = !answered(answers, s.Assigner)
	}
	var list []GroupSummary
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		list = append(list, *byName[name])
	}
	return list
}

func add(byName map[ownership.GroupID]*GroupSummary, vm ownership.VMID, g Group) {
	s := byName[g.ID]
	if s == nil {
		s = &GroupSummary{Group: g}
		byName[g.ID] = s
	}
	if s.version().Less(g.version()) {
		s.Group = g
	}
	if g.Assigning {
		s.Assigners = append(s.Assigners, vm)
	}
}

func (g Group) version() ownership.Token { return ownership.Token{Term: g.Term, Seq: g.Seq} }

func behind(answers []Answer, s *GroupSummary) int {
	n := 0
	for _, a := range answers {
		if a.Status == nil {
			continue
		}
		at := slices.IndexFunc(a.Status.Groups, func(g Group) bool { return g.ID == s.Group.ID })
		if at < 0 || a.Status.Groups[at].Term < s.Term {
			n++
		}
	}
	return n
}

func answered(answers []Answer, vm ownership.VMID) bool {
	return slices.ContainsFunc(answers, func(a Answer) bool { return a.Status != nil && a.Status.VM == vm })
}

func (g GroupSummary) problem() string {
	switch {
	case g.AssignerSilent:
		return "assigner does not answer"
	case g.Unowned > 0:
		return "keys without owner"
	default:
		return "-"
	}
}

// WriteGroups writes a table of the groups.
func WriteGroups(w io.Writer, answers []Answer) error {
	t := newTable(w)
	fmt.Fprintln(t, "GROUP\tASSIGNER\tTERM\tSLOTS\tUNOWNED\tTARGETS\tLOST\tVMS BEHIND\tPROBLEM")
	for _, g := range SummarizeGroups(answers) {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
			g.Group.ID, dash(string(g.Assigner)), g.Term, g.Slots, g.Unowned, g.Targets, g.Lost, g.Behind, g.problem())
	}
	return t.Flush()
}

// BundleReport tells how far a bundle version has spread.
type BundleReport struct {
	// Accepted is the version in the store; zero if it could not be read.
	Accepted  uint64 `json:"accepted"`
	InForce   int    `json:"in_force"`
	Processes int    `json:"of"`
	// Lagging lists the processes without the accepted version.
	Lagging []LaggingProcess `json:"lagging,omitempty"`
}

// Lag is a process without the accepted version, and why.
type LaggingProcess struct {
	Address string `json:"address"`
	VM      string `json:"vm,omitempty"`
	Version uint64 `json:"version"`
	Reason  string `json:"why"`
}

// Spread compares the versions in force with the accepted one; zero means the
// highest that any process holds.
func NewBundleReport(accepted uint64, answers []Answer) BundleReport {
	r := BundleReport{Accepted: accepted, Processes: len(answers)}
	if accepted == 0 {
		for _, a := range answers {
			if a.Status != nil {
				r.Accepted = max(r.Accepted, a.Status.BundleVersion)
			}
		}
	}
	for _, a := range answers {
		if why := lag(a, r.Accepted); why != "" {
			l := LaggingProcess{Address: a.Address, Reason: why}
			if a.Status != nil {
				l.VM, l.Version = string(a.Status.VM), a.Status.BundleVersion
			}
			r.Lagging = append(r.Lagging, l)
			continue
		}
		r.InForce++
	}
	return r
}

func lag(a Answer, accepted uint64) string {
	switch {
	case a.Status == nil:
		return "does not answer: " + a.Error
	case a.Status.BundleVersion == accepted && accepted > 0:
		return ""
	case a.Status.BundleVersion > accepted:
		return fmt.Sprintf("holds version %d, which is newer than the store: the store was restored to the past", a.Status.BundleVersion)
	case a.Status.BundleRefusal != "":
		return "refused: " + a.Status.BundleRefusal
	case a.Status.BundleVersion == 0:
		return "has no bundle yet"
	default:
		return "the new version has not reached it"
	}
}

// Write writes the report as text.
func (r BundleReport) Write(w io.Writer) error {
	fmt.Fprintf(w, "version %d: in force in %d of %d processes\n", r.Accepted, r.InForce, r.Processes)
	if len(r.Lagging) == 0 {
		return nil
	}
	t := newTable(w)
	fmt.Fprintln(t, "ADDRESS\tVM\tVERSION\tWHY")
	for _, l := range r.Lagging {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", l.Address, dash(l.VM), l.Version, l.Reason)
	}
	return t.Flush()
}
