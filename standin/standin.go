// Package standin contains what the stand-ins of the platform share. The stand-ins are meant
// for tests and for a first run; no production process uses them.
package standin

import (
	"time"

	"github.com/pkg/errors"
)

// Paths of the calls that administer stand-ins.
const (
	// FaultsPath takes a JSON body that sets faults and triggers actions.
	FaultsPath = "/standin/faults"
	// CallsPath reports the counts of the calls to the object API.
	CallsPath = "/standin/calls"
	// RunsPath reports how often requests have run on a target.
	RunsPath = "/standin/runs"
)

// Duration is a duration that is text in JSON, for example "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "parse duration")
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Spin keeps one processor busy for the duration.
func Spin(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
	}
}
