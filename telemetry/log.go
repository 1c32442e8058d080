// Package telemetry provides the means by which operators observe a process: its
// log, its metrics and the HTTP server for health checks, metrics and profiles.
package telemetry

import (
	"io"
	"log/slog"
	"runtime/debug"

	"github.com/pkg/errors"
)

// LogSettings is the [log] section of a process's settings.
type LogSettings struct {
	Format string `ini:"format" default:"text" enum:"text,json" doc:"Format of the log lines on standard error."`
	Level  string `ini:"level" default:"info" enum:"debug,info,warn,error" doc:"Lowest level that is logged."`
}

// NewLogger returns a logger that writes to w. It returns an error if the level or
// the format is not one of those in LogSettings.
func NewLogger(w io.Writer, s LogSettings) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		return nil, errors.Wrap(err, "parse log level")
	}
	opts := &slog.HandlerOptions{Level: level}
	switch s.Format {
	case "text":
		return slog.New(slog.NewTextHandler(w, opts)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, opts)), nil
	default:
		return nil, errors.Errorf("log format %q: want text or json", s.Format)
	}
}

// Version returns the module version and, if known, the first 12 digits of the
// revision from which the binary was built, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			return info.Main.Version + " (" + s.Value[:12] + ")"
		}
	}
	return info.Main.Version
}
