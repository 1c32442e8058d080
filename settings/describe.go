package settings

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// PrintDefaults writes a commented INI file to w that holds every key of dst with its
// default; required keys are written as comments.
func PrintDefaults(w io.Writer, dst any) error {
	return writeDescription(w, dst, writeINISection, writeINIKey)
}

// WriteMarkdown writes a Markdown table of the keys of each section of dst to w.
func WriteMarkdown(w io.Writer, dst any) error {
	return writeDescription(w, dst, writeMarkdownSection, writeMarkdownKey)
}

func writeDescription(w io.Writer, dst any, writeSection func(io.Writer, sectionField), writeKey func(io.Writer, keyField)) error {
	sections, err := sectionFields(dst)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	for i, s := range sections {
		if i > 0 {
			out.WriteString("\n")
		}
		writeSection(&out, s)
		keys, err := keyFields(s.value)
		if err != nil {
			return err
		}
		for _, k := range keys {
			writeKey(&out, k)
		}
	}
	_, err = w.Write(out.Bytes())
	return err
}

func writeINISection(w io.Writer, s sectionField) {
	if s.doc != "" {
		fmt.Fprintf(w, "# %s\n", s.doc)
	}
	fmt.Fprintf(w, "[%s]\n", s.name)
}

func writeINIKey(w io.Writer, f keyField) {
	note := f.doc
	if limits := f.constraints(); limits != "" {
		note += " (" + limits + ")"
	}
	fmt.Fprintf(w, "# %s\n", note)
	if f.required {
		fmt.Fprintf(w, "# %s =\n", f.name)
		return
	}
	fmt.Fprintf(w, "%s\n", strings.TrimSpace(f.name+" = "+f.defaultText))
}

func (f keyField) constraints() string {
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

func writeMarkdownSection(w io.Writer, s sectionField) {
	fmt.Fprintf(w, "### [%s]\n\n", s.name)
	if s.doc != "" {
		fmt.Fprintf(w, "%s\n\n", s.doc)
	}
	fmt.Fprint(w, "| Key | Type | Default | Limits | Meaning |\n| --- | --- | --- | --- | --- |\n")
}

func writeMarkdownKey(w io.Writer, f keyField) {
	def := "none"
	if f.defaultText != "" {
		def = "`" + f.defaultText + "`"
	}
	fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s |\n", f.name, f.value.Type(), def, f.constraints(), f.doc)
}
