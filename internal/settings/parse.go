package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is an error in a settings file.
type Fault struct {
	Line  int
	Field string
	Text  string
}

// String returns line, field and text.
func (f Fault) String() string { return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Text) }

func formatFaults(path string, faults []Fault) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d faults in %s", len(faults), path)
	for _, f := range faults {
		fmt.Fprintf(&b, "\n  %s:%d: %s: %s", path, f.Line, f.Field, f.Text)
	}
	return b.String()
}

// parser decodes a settings file by reflection. Unlike package json, it reports all
// faults, with their lines.
type parser struct {
	data   []byte
	faults []Fault
	lines  map[string]int // by path of the field
}

// Parse parses and validates settings. Fields that are not set keep their defaults. It
// returns all faults, ordered by line.
func Parse(data []byte) (Settings, []Fault) {
	p := &parser{data: data, lines: map[string]int{}}
	root, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, []Fault{{Line: syntaxErrorLine(data, err), Field: "file", Text: err.Error()}}
	}
	s := Default()
	p.decode(&root, reflect.ValueOf(&s).Elem(), "")
	s.check(p)
	slices.SortStableFunc(p.faults, func(a, b Fault) int { return a.Line - b.Line })
	return s, p.faults
}

// syntaxErrorLine extracts the line from an error such as "hujson: line 3, column 5: ...".
func syntaxErrorLine(data []byte, err error) int {
	line := 0
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d", &line); scanErr != nil {
		return 1 + bytes.Count(data, []byte("\n"))
	}
	return line
}

func (p *parser) addFault(field, format string, args ...any) {
	p.faults = append(p.faults, Fault{p.line(field), field, fmt.Sprintf(format, args...)})
}

// line returns the line of a field, or of the nearest field that encloses it.
func (p *parser) line(field string) int {
	for field != "" {
		if line, ok := p.lines[field]; ok {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
	return 1
}

func (p *parser) recordLine(field string, offset int) {
	p.lines[field] = 1 + bytes.Count(p.data[:min(offset, len(p.data))], []byte("\n"))
}

// decode decodes a value into a field of the settings.
func (p *parser) decode(v *hujson.Value, into reflect.Value, path string) {
	if path != "" {
		p.recordLine(path, v.StartOffset)
	}
	if _, isText := into.Addr().Interface().(encoding.TextUnmarshaler); isText {
		p.decodeScalar(v, into, path)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		p.decodeObject(v, into, path)
	case reflect.Slice:
		p.decodeList(v, into, path)
	default:
		p.decodeScalar(v, into, path)
	}
}

func (p *parser) decodeScalar(v *hujson.Value, into reflect.Value, path string) {
	standard := v.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), into.Addr().Interface()); err != nil {
		p.addFault(path, "%s is not a valid %s", strings.TrimSpace(string(standard.Pack())), into.Type())
	}
}

func (p *parser) decodeObject(v *hujson.Value, into reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addFault(path, "must be an object")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		literal, _ := member.Name.Value.(hujson.Literal)
		name := literal.String()
		field := strings.TrimPrefix(path+"."+name, ".")
		p.recordLine(field, member.Name.StartOffset)
		fieldValue, known := fieldByTag(into, name)
		switch {
		case !known:
			p.addFault(field, "unknown field")
		case seen[name]:
			p.addFault(field, "is set twice")
		default:
			p.decode(&member.Value, fieldValue, field)
		}
		seen[name] = true
	}
}

func fieldByTag(into reflect.Value, name string) (reflect.Value, bool) {
	for i := range into.NumField() {
		if into.Type().Field(i).Tag.Get("json") == name {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func (p *parser) decodeList(v *hujson.Value, into reflect.Value, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		p.addFault(path, "must be a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		p.decode(&array.Elements[i], into.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}
