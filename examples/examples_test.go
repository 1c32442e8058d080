// Package examples holds settings files and bundles of example deployments.
package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/config"
	"github.com/basiltally/basiltally/daemon"
	"github.com/basiltally/basiltally/operator"
	"github.com/basiltally/basiltally/settings"
)

// TestFilesLoad loads every INI file. The part of its name before the first hyphen
// determines the kind of file.
func TestFilesLoad(t *testing.T) {
	paths, err := filepath.Glob("*/*.ini")
	is.New(t).NoErr(err)
	loaded := make(map[string]int)
	for _, path := range paths {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			kind, _, _ := strings.Cut(strings.TrimSuffix(filepath.Base(path), ".ini"), "-")
			loaded[kind]++
			switch kind {
			case "assign":
				is.NoErr(settings.Load(path, new(daemon.AssignSettings)))
			case "entry":
				is.NoErr(settings.Load(path, new(daemon.EntrySettings)))
			case "bundle":
				data, err := os.ReadFile(path)
				is.NoErr(err)
				_, err = config.Parse(path, data)
				is.NoErr(err)
			case "ctl":
				is.NoErr(settings.Load(path, new(operator.Settings)))
			default:
				t.Errorf("%s: unknown kind of file", path)
			}
		})
	}
	for _, kind := range []string{"assign", "entry", "bundle", "ctl"} {
		is.New(t).True(loaded[kind] >= 3) // each example has at least one
	}
}
