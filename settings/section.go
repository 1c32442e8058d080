package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// Section is one section of a parsed file.
type Section struct {
	File string
	Name string
	// entries holds each key once, in the order of the file.
	entries []keyValue
}

type keyValue struct {
	name, value string
	// duplicate is set if the section has the key more than once.
	duplicate bool
}

// loadOptions stops the INI library from merging duplicates and rewriting values, so
// that duplicates can be reported and values are used as written.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	IgnoreInlineComment:        true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	AllowNonUniqueSections:     true,
	KeyValueDelimiters:         "=",
}

// ParseSections splits a document into sections. It returns the valid sections along
// with all errors, so that its caller can go on to check the sections.
func ParseSections(file string, data []byte) ([]*Section, Errors) {
	if !utf8.Valid(data) {
		return nil, Errors{{File: file, Reason: "not valid UTF-8"}}
	}
	clean, errs := checkLines(file, data)
	parsed, err := ini.LoadSources(loadOptions, clean)
	if err != nil {
		return nil, append(errs, Error{File: file, Reason: err.Error()})
	}
	var sections []*Section
	seen := make(map[string]bool)
	for _, s := range parsed.Sections() {
		section := readSection(file, s)
		if s.Name() == ini.DefaultSection {
			errs = append(errs, section.outsideSectionErrors()...)
			continue
		}
		if seen[s.Name()] {
			errs = append(errs, section.newError("", "duplicate section"))
			continue
		}
		seen[s.Name()] = true
		sections = append(sections, section)
	}
	return sections, errs
}

// checkLines returns the document without its malformed lines, and an error for each of
// these. Every line must be empty, a comment, a section header or a key with its value;
// no value spans several lines.
func checkLines(file string, data []byte) ([]byte, Errors) {
	var errs Errors
	var clean bytes.Buffer
	section := ""
	for i, raw := range strings.Split(string(data), "\n") {
		line := strings.TrimSpace(raw)
		reason := checkLine(line)
		if reason != "" {
			reason = fmt.Sprintf("line %d: %s", i+1, reason)
			errs = append(errs, Error{File: file, Section: section, Reason: reason})
			continue
		}
		if strings.HasPrefix(line, "[") {
			section = line[1 : len(line)-1]
		}
		clean.WriteString(line + "\n")
	}
	return clean.Bytes(), errs
}

func checkLine(line string) string {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return ""
	}
	if strings.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == utf8.RuneError || r == '\ufeff' }) {
		return "control character"
	}
	if line[0] == '[' {
		if len(line) < 3 || line[len(line)-1] != ']' || strings.Contains(line[:len(line)-1], "]") {
			return "malformed section header"
		}
		if line == "["+ini.DefaultSection+"]" {
			return "reserved section name"
		}
		return ""
	}
	key, value, ok := strings.Cut(line, "=")
	if !ok {
		return "want key = value"
	}
	return checkKeyValue(strings.TrimSpace(key), strings.TrimSpace(value))
}

func checkKeyValue(key, value string) string {
	for _, r := range key {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_' {
			return "malformed key name"
		}
	}
	if key == "" {
		return "empty key name"
	}
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		return "values of several lines are not supported"
	}
	return ""
}

func readSection(file string, s *ini.Section) *Section {
	section := &Section{File: file, Name: s.Name()}
	for _, k := range s.Keys() {
		values := k.ValueWithShadows()
		e := keyValue{name: k.Name(), value: k.Value(), duplicate: len(values) > 1}
		section.entries = append(section.entries, e)
	}
	return section
}

func (s *Section) outsideSectionErrors() Errors {
	var errs Errors
	for _, k := range s.entries {
		errs = append(errs, Error{File: s.File, Key: k.name, Reason: "key outside any section"})
	}
	return errs
}

func (s *Section) newError(key, reason string) Error {
	return Error{File: s.File, Section: s.Name, Key: key, Reason: reason}
}

// Decode sets the fields of dst, a pointer to a section struct, and returns the errors
// of the section. It panics if the struct's tags are malformed.
func (s *Section) Decode(dst any) Errors {
	errs, err := s.decode(reflect.ValueOf(dst).Elem())
	if err != nil {
		panic(err)
	}
	return errs
}

func (s *Section) decode(dst reflect.Value) (Errors, error) {
	fields, err := keyFields(dst)
	if err != nil {
		return nil, errors.Wrapf(err, "section %s", s.Name)
	}
	known := make(map[string]bool, len(fields))
	var errs Errors
	for _, f := range fields {
		known[f.name] = true
		if err := f.setDefault(); err != nil {
			return nil, errors.Wrapf(err, "section %s", s.Name)
		}
		if reason := s.setField(f); reason != "" {
			errs = append(errs, s.newError(f.name, reason))
		}
	}
	for _, k := range s.entries {
		if !known[k.name] {
			errs = append(errs, s.newError(k.name, "unknown key"))
		}
	}
	if len(errs) == 0 {
		errs = validate(dst.Addr().Interface(), s.File, s.Name)
	}
	return errs, nil
}

// setField sets the field to its value in the section, if present. It returns the
// reason of an error, or an empty string.
func (s *Section) setField(f keyField) string {
	for _, k := range s.entries {
		if k.name != f.name {
			continue
		}
		if k.duplicate {
			return "duplicate key"
		}
		if f.required && k.value == "" {
			return "required, but empty"
		}
		if err := f.set(k.value); err != nil {
			return err.Error()
		}
		return ""
	}
	if f.required {
		return "required, but missing"
	}
	return ""
}

// Each calls f for each key of the section, in the order of the file.
func (s *Section) Each(f func(key, value string)) {
	for _, k := range s.entries {
		f(k.name, k.value)
	}
}
