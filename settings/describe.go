package settings

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// PrintDefaults writes a commented INI file with every key of dst at its default.
func PrintDefaults(w io.Writer, dst any) error {
	return describe(w, dst, iniSection, iniKey)
}

// WriteMarkdown writes a table of the keys of each section of dst.
func WriteMarkdown(w io.Writer, dst any) error {
	return describe(w, dst, markdownSection, markdownKey)
}

func describe(w io.Writer, dst any, section func(io.Writer, sectionField), key func(io.Writer, field)) error {
	sections, err := sectionFields(dst)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	for i, s := range sections {
		if i > 0 {
			out.WriteString("\n")
		}
		section(&out, s)
		keys, err := keyFields(s.value)
		if err != nil {
			return err
		}
		for _, k := range keys {
			key(&out, k)
		}
	}
	_, err = w.Write(out.Bytes())
	return err
}

func iniSection(w io.Writer, s sectionField) {
	if s.doc != "" {
		fmt.Fprintf(w, "# %s\n", s.doc)
	}
	fmt.Fprintf(w, "[%s]\n", s.name)
}

func iniKey(w io.Writer, f field) {
	note := f.doc
	if limits := f.limits(); limits != "" {
		note += " (" + limits + ")"
	}
	fmt.Fprintf(w, "# %s\n", note)
	if f.required {
		fmt.Fprintf(w, "# %s =\n", f.name)
		return
	}
	fmt.Fprintf(w, "%s\n", strings.TrimSpace(f.name+" = "+f.def))
}

func (f field) limits() string {
	var parts []string
	if f.required {
		parts = append(parts, "required")
	}
	if f.unit != "" {
		parts = append(parts, "unit: "+f.unit)
	}
	if f.bounds != "" {
		parts = append(parts, "range: "+f.bounds)
	}
	if f.enum != "" {
		parts = append(parts, "one of: "+f.enum)
	}
	return strings.Join(parts, "; ")
}

func markdownSection(w io.Writer, s sectionField) {
	fmt.Fprintf(w, "### [%s]\n\n", s.name)
	if s.doc != "" {
		fmt.Fprintf(w, "%s\n\n", s.doc)
	}
	fmt.Fprint(w, "| Key | Type | Default | Limits | Meaning |\n| --- | --- | --- | --- | --- |\n")
}

func markdownKey(w io.Writer, f field) {
	def := "none"
	if f.def != "" {
		def = "`" + f.def + "`"
	}
	fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s |\n", f.name, f.value.Type(), def, f.limits(), f.doc)
}
