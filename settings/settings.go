// Package settings loads INI files into structs that describe their own keys.
//
// The destination is a pointer to a struct with one struct field per section,
// tagged `ini:"name"`. The fields of a section struct are its keys:
//
//	type Entry struct {
//		Listen  string        `ini:"listen" default:"127.0.0.1:8080" doc:"Address for callers."`
//		Timeout time.Duration `ini:"timeout" default:"1s" range:"1ms..1m" doc:"Header deadline."`
//	}
//
// The tags are ini (name), default, unit, range ("low..high", either end may be
// left out), enum (comma separated), required ("true") and doc. A section
// struct or the whole struct may have a method Validate() error for checks
// across keys. All errors of a file are reported at once.
package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// maxFileBytes bounds the size of a settings file.
const maxFileBytes = 1 << 20

// Error is one fault in a file.
type Error struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// Error returns "file: [section] key: reason" without the parts that are empty.
func (e Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Section != "" {
		fmt.Fprintf(&b, ": [%s]", e.Section)
	}
	if e.Key != "" {
		if e.Section == "" {
			b.WriteString(":")
		}
		b.WriteString(" " + e.Key)
	}
	b.WriteString(": " + e.Reason)
	return b.String()
}

// Errors lists every fault of a file.
type Errors []Error

// Error returns one fault a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by structs with checks across several keys. The
// error may be an Errors or an Error; a plain error becomes the reason.
type Validator interface {
	Validate() error
}

// Load reads the file into dst. Keys that the file leaves out get their
// defaults. Faults of the file are returned together as Errors.
func Load(path string, dst any) error {
	data, err := readBounded(path)
	if err != nil {
		return Errors{{File: path, Reason: err.Error()}}
	}
	return Parse(filepath.Base(path), data, dst)
}

// Parse is Load for a document in memory; file names it in errors.
func Parse(file string, data []byte, dst any) error {
	sections, errs := ParseSections(file, data)
	fields, err := sectionFields(dst)
	if err != nil {
		return err
	}
	known := make(map[string]reflect.Value, len(fields))
	for _, f := range fields {
		known[f.name] = f.value
	}
	present := make(map[string]*Section, len(sections))
	for _, s := range sections {
		if _, ok := known[s.Name]; !ok {
			errs = append(errs, s.fault("", "unknown section"))
			continue
		}
		present[s.Name] = s
	}
	for _, f := range fields {
		s := present[f.name]
		if s == nil {
			s = &Section{File: file, Name: f.name}
		}
		more, err := s.decode(f.value)
		if err != nil {
			return err
		}
		errs = append(errs, more...)
	}
	if len(errs) == 0 {
		errs = validate(dst, file, "")
	}
	if len(errs) > 0 {
		return errs
	}
	return nil
}

// Defaults sets every key of dst to its default and checks nothing else.
func SetDefaults(dst any) error {
	fields, err := sectionFields(dst)
	if err != nil {
		return err
	}
	for _, f := range fields {
		keys, err := keyFields(f.value)
		if err != nil {
			return err
		}
		for _, k := range keys {
			if err := k.setDefault(); err != nil {
				return err
			}
		}
	}
	return nil
}

// ReadSecret returns the trimmed content of a file that only its owner may read.
func ReadSecret(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", errors.Wrap(err, "secret file")
	}
	if info.Mode().Perm()&0o077 != 0 {
		return "", errors.Errorf("secret file %s: mode %04o lets others read it; want 0600", path, info.Mode().Perm())
	}
	data, err := readBounded(path)
	if err != nil {
		return "", errors.Wrap(err, "secret file")
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", errors.Errorf("secret file %s: empty", path)
	}
	return secret, nil
}

func readBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Errorf("%d bytes exceed the limit of %d", info.Size(), maxFileBytes)
	}
	return os.ReadFile(path)
}

// validate calls the Validate method of v, if any, and places its error in the section.
func validate(v any, file, section string) Errors {
	checked, ok := v.(Validator)
	if !ok {
		return nil
	}
	err := checked.Validate()
	if err == nil {
		return nil
	}
	list := Errors{}
	var one Error
	switch {
	case errors.As(err, &list):
		list = append(Errors(nil), list...)
	case errors.As(err, &one):
		list = Errors{one}
	default:
		list = Errors{{Reason: err.Error()}}
	}
	for i := range list {
		list[i].File = file
		if list[i].Section == "" {
			list[i].Section = section
		}
	}
	return list
}
