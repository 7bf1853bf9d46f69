package intent

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/tailscale/hujson"
)

// Object is a template, service or team of a configuration file.
type Object struct {
	Kind, Name string
	Body       []byte // JSON without comments
}

// file is the layout of a configuration file.
type file struct {
	Templates map[string]json.RawMessage `json:"templates"`
	Services  map[string]json.RawMessage `json:"services"`
	Teams     map[string]json.RawMessage `json:"teams"`
}

// ParseFile parses a configuration file, which is JSON with comments. It returns the
// templates, then the services, then the teams, each sorted by name.
func ParseFile(data []byte) ([]Object, error) {
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	var topLevel map[string]json.RawMessage
	if err := json.Unmarshal(plain, &topLevel); err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	for name := range topLevel {
		if name != "templates" && name != "services" && name != "teams" {
			return nil, fmt.Errorf("read configuration: unknown field %q, expected templates, services or teams", name)
		}
	}
	var f file
	if err := json.Unmarshal(plain, &f); err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	var objects []Object
	add := func(kind string, bodies map[string]json.RawMessage) error {
		for _, name := range slices.Sorted(maps.Keys(bodies)) {
			body, err := compact(bodies[name])
			if err != nil {
				return fmt.Errorf("%s %s: %w", kind, name, err)
			}
			objects = append(objects, Object{kind, name, body})
		}
		return nil
	}
	for _, part := range []struct {
		kind   string
		bodies map[string]json.RawMessage
	}{{KindTemplate, f.Templates}, {KindService, f.Services}, {KindTeam, f.Teams}} {
		if err := add(part.kind, part.bodies); err != nil {
			return nil, err
		}
	}
	return objects, nil
}

// compact removes comments and white space.
func compact(body json.RawMessage) ([]byte, error) {
	v, err := hujson.Parse(body)
	if err != nil {
		return nil, err
	}
	v.Minimize()
	return v.Pack(), nil
}

// ReadDocument returns a document with the given objects.
func ReadDocument(objects []Object) (Document, error) {
	d := NewDocument()
	for _, o := range objects {
		if err := d.Put(o.Kind, o.Name, o.Body); err != nil {
			return d, fmt.Errorf("%s %s: %w", o.Kind, o.Name, err)
		}
	}
	return d, nil
}
