package settings

import (
	"cmp"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// secretName matches the names of keys for secrets. Such a key must hold the path of a
// file, and its name must end in _file.
var secretName = regexp.MustCompile(`(secret|password|private_key|credential|auth_token)`)

type sectionField struct {
	name  string
	doc   string
	value reflect.Value
}

// keyField is the field of a section struct that describes one key.
type keyField struct {
	name, defaultText, unit, bounds, enum, doc string
	required                                   bool
	value                                      reflect.Value
}

func sectionFields(dst any) ([]sectionField, error) {
	v := reflect.ValueOf(dst)
	if v.Kind() != reflect.Pointer || v.Elem().Kind() != reflect.Struct {
		return nil, errors.Errorf("settings: destination must be a pointer to a struct, got %T", dst)
	}
	v = v.Elem()
	var fields []sectionField
	for i := range v.NumField() {
		t := v.Type().Field(i)
		name := t.Tag.Get("ini")
		if name == "" || v.Field(i).Kind() != reflect.Struct {
			return nil, errors.Errorf("settings: field %s must be a struct with an ini tag", t.Name)
		}
		fields = append(fields, sectionField{name, t.Tag.Get("doc"), v.Field(i)})
	}
	return fields, nil
}

func keyFields(v reflect.Value) ([]keyField, error) {
	var fields []keyField
	for i := range v.NumField() {
		t := v.Type().Field(i)
		f := keyField{
			name:        t.Tag.Get("ini"),
			defaultText: t.Tag.Get("default"),
			unit:        t.Tag.Get("unit"),
			bounds:      t.Tag.Get("range"),
			enum:        t.Tag.Get("enum"),
			doc:         t.Tag.Get("doc"),
			required:    t.Tag.Get("required") == "true",
			value:       v.Field(i),
		}
		if f.name == "" {
			return nil, errors.Errorf("settings: field %s has no ini tag", t.Name)
		}
		if secretName.MatchString(f.name) && !strings.HasSuffix(f.name, "_file") {
			return nil, errors.Errorf("settings: key %s: the key of a secret must name a file and end in _file", f.name)
		}
		fields = append(fields, f)
	}
	return fields, nil
}

// setDefault sets the field to its default, or to its zero value if it has none.
func (f keyField) setDefault() error {
	if f.defaultText == "" {
		f.value.SetZero()
		return nil
	}
	return errors.Wrapf(f.set(f.defaultText), "settings: default of %s", f.name)
}

func (f keyField) set(text string) error {
	switch f.value.Interface().(type) {
	case string:
		return f.setString(text)
	case bool:
		return f.setBool(text)
	case time.Duration:
		return setOrdered(f, text, "a duration such as 250ms", time.ParseDuration)
	case int:
		return setOrdered(f, text, "an integer", strconv.Atoi)
	case int64:
		return setOrdered(f, text, "an integer", parseInt64)
	case uint64:
		return setOrdered(f, text, "an integer of at least 0", parseUint64)
	case float64:
		return setOrdered(f, text, "a number", parseFloat)
	case []string:
		return f.setStrings(text)
	default:
		return errors.Errorf("unsupported type %s", f.value.Type())
	}
}

func (f keyField) setString(text string) error {
	if f.enum != "" && !slices.Contains(splitList(f.enum), text) {
		return errors.Errorf("%q: want one of %s", text, f.enum)
	}
	f.value.SetString(text)
	return nil
}

func (f keyField) setBool(text string) error {
	if text != "true" && text != "false" {
		return errors.Errorf("%q: want true or false", text)
	}
	f.value.SetBool(text == "true")
	return nil
}

func (f keyField) setStrings(text string) error {
	var list []string
	if text != "" {
		list = splitList(text)
	}
	if slices.Contains(list, "") {
		return errors.Errorf("%q: empty element in a list", text)
	}
	f.value.Set(reflect.ValueOf(list))
	return nil
}

func setOrdered[T cmp.Ordered](f keyField, text, want string, parse func(string) (T, error)) error {
	v, err := parse(text)
	if err != nil {
		return errors.Errorf("%q: want %s", text, want)
	}
	if f.bounds != "" {
		if err := checkRange(v, f.bounds, parse); err != nil {
			return err
		}
	}
	f.value.Set(reflect.ValueOf(v))
	return nil
}

func checkRange[T cmp.Ordered](v T, bounds string, parse func(string) (T, error)) error {
	low, high, ok := strings.Cut(bounds, "..")
	if !ok {
		return errors.Errorf("malformed range %q", bounds)
	}
	for i, text := range []string{low, high} {
		if text == "" {
			continue
		}
		limit, err := parse(text)
		if err != nil {
			return errors.Wrapf(err, "malformed range %q", bounds)
		}
		if i == 0 && v < limit || i == 1 && v > limit {
			return errors.Errorf("%v is outside the range %s", v, bounds)
		}
	}
	return nil
}

func parseInt64(s string) (int64, error)   { return strconv.ParseInt(s, 10, 64) }
func parseUint64(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) }

func parseFloat(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		err = errors.New("not finite")
	}
	return v, err
}

func splitList(text string) []string {
	parts := strings.Split(text, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
