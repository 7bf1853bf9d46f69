package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/wire"
)

// cmdTemplate shows templates: bounds and defaults of the parameters that teams
// may set.
func cmdTemplate() *cobra.Command {
	c := &cobra.Command{Use: "template", Short: "show templates"}
	c.AddCommand(cmdTemplateList(), cmdTemplateShow())
	return c
}

func cmdTemplateList() *cobra.Command {
	return newQueryCommand("list", "list the accepted templates", 0, func(ctx context.Context, q query) error {
		templates, err := acceptedTemplates(ctx, q.client)
		if err != nil {
			return err
		}
		if q.json {
			return PrintJSON(q.out, templates)
		}
		for _, o := range templates {
			var body intent.Template
			if err := json.Unmarshal(o.Object.Body, &body); err != nil {
				return fault.Wrap(fault.Internal, err)
			}
			fmt.Fprintf(q.out, "%s\trevision %d by %s\t%s\n", o.Object.Name, o.Revision, o.Author, body.About)
		}
		return nil
	})
}

func cmdTemplateShow() *cobra.Command {
	return newQueryCommand("show NAME", "show the bounds and default of every parameter of a template", 1, func(ctx context.Context, q query) error {
		templates, err := acceptedTemplates(ctx, q.client)
		if err != nil {
			return err
		}
		for _, o := range templates {
			if o.Object.Name != q.args[0] {
				continue
			}
			if q.json {
				return PrintJSON(q.out, json.RawMessage(o.Object.Body))
			}
			return printTemplate(q.out, o)
		}
		return fault.New(fault.NotFound, "there is no template %q", q.args[0])
	})
}

func acceptedTemplates(ctx context.Context, client wire.DRPCControlClient) ([]*wire.StoredObject, error) {
	s, err := getStatus(ctx, client, false)
	if err != nil {
		return nil, err
	}
	var templates []*wire.StoredObject
	for _, o := range s.Objects {
		if o.Object.Kind == intent.KindTemplate {
			templates = append(templates, o)
		}
	}
	return templates, nil
}

func printTemplate(w io.Writer, o *wire.StoredObject) error {
	var body intent.Template
	if err := json.Unmarshal(o.Object.Body, &body); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	for _, s := range intent.Specs() {
		low, high, defaultValue := s.Min, s.Max, s.DefaultValue
		p := body.Parameters[s.Name]
		if p.Min != nil {
			low = p.Min.Number()
		}
		if p.Max != nil {
			high = p.Max.Number()
		}
		if p.Default != nil {
			defaultValue = p.Default.Number()
		}
		fmt.Fprintf(w, "%-15s %s to %s, default %s\n    %s\n", s.Name, s.Format(low), s.Format(high), s.Format(defaultValue), s.Doc)
	}
	return nil
}
