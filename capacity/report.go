package capacity

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// WriteSweep writes a sweep's samples and fitted lines as a table.
func WriteSweep(w io.Writer, s Sweep) error {
	fmt.Fprintf(w, "%s (x = %s)\n", s.Name, s.Variable)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "  cost\tunit\tslope\tintercept\tresidual\tof mean\tsamples x:y\t\n")
	for _, series := range s.Series {
		f := series.Fit
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t%s\t%.1f%%\t%s\t\n",
			series.Name, series.Unit, formatNumber(f.Slope), formatNumber(f.Intercept), formatNumber(f.Residual), 100*f.Relative, samplesText(series.Samples))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}

func samplesText(samples []Sample) string {
	text := ""
	for _, s := range samples {
		text += fmt.Sprintf(" %s:%s", formatNumber(s.X), formatNumber(s.Y))
	}
	return text
}

// formatNumber returns a number with about four significant digits.
func formatNumber(v float64) string {
	switch size := math.Abs(v); {
	case size >= 1e9:
		return fmt.Sprintf("%.4gG", v/1e9)
	case size >= 1e6:
		return fmt.Sprintf("%.4gM", v/1e6)
	case size >= 1e4:
		return fmt.Sprintf("%.4gk", v/1e3)
	default:
		return fmt.Sprintf("%.4g", v)
	}
}

// WriteProjection writes the figures of several designs side by side, one column
// per name. All designs must have the same rows in the same order.
func WriteProjection(w io.Writer, names []string, designs [][]Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "role\tfigure\tlimit")
	for _, name := range names {
		fmt.Fprintf(t, "\t%s", name)
	}
	fmt.Fprintln(t)
	for i, row := range designs[0] {
		fmt.Fprintf(t, "%s\t%s\t%s", row.Role, row.Figure, limitText(row))
		for _, rows := range designs {
			fmt.Fprintf(t, "\t%s", valueText(rows[i]))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

func limitText(r Row) string {
	if r.Limit == 0 {
		return "-"
	}
	return formatValue(r.Limit, r.Unit)
}

func valueText(r Row) string {
	text := formatValue(r.Value, r.Unit)
	switch {
	case r.Missed():
		return text + " MISSED"
	case r.Limit > 0:
		return text + " met"
	default:
		return text
	}
}

// formatValue returns a value with its unit; a share becomes a percentage.
func formatValue(v float64, unit string) string {
	if unit == "share" {
		return fmt.Sprintf("%.3g%%", 100*v)
	}
	return formatNumber(v) + " " + unit
}
