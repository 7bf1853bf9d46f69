package cmd

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/wire"
)

// cmdTemplate shows templates and the parameters they may set.
func cmdTemplate() *cobra.Command {
	c := &cobra.Command{Use: "template", Short: "show templates"}
	c.AddCommand(cmdTemplateList(), cmdTemplateShow())
	return c
}

func cmdTemplateList() *cobra.Command {
	var t target
	c := &cobra.Command{
		Use: "list", Short: "list the accepted templates", Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return t.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
				templates, err := acceptedTemplates(ctx, client)
				if err != nil {
					return err
				}
				for _, o := range templates {
					var body intent.Template
					if err := json.Unmarshal(o.Object.Body, &body); err != nil {
						return fault.Wrap(fault.Internal, err)
					}
					fmt.Fprintf(c.OutOrStdout(), "%s\trevision %d by %s\t%s\n", o.Object.Name, o.Revision, o.Author, body.About)
				}
				return nil
			})
		},
	}
	t.flags(c)
	return c
}

func cmdTemplateShow() *cobra.Command {
	var t target
	c := &cobra.Command{
		Use: "show NAME", Short: "show a template with bounds and defaults of every parameter", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return t.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
				templates, err := acceptedTemplates(ctx, client)
				if err != nil {
					return err
				}
				for _, o := range templates {
					if o.Object.Name == args[0] {
						return printTemplate(c, o)
					}
				}
				return fault.New(fault.NotFound, "there is no template %q", args[0])
			})
		},
	}
	t.flags(c)
	return c
}

func acceptedTemplates(ctx context.Context, client wire.DRPCControlClient) ([]*wire.StoredObject, error) {
	s, err := client.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err)
	}
	var found []*wire.StoredObject
	for _, o := range s.Objects {
		if o.Object.Kind == intent.KindTemplate {
			found = append(found, o)
		}
	}
	return found, nil
}

func printTemplate(c *cobra.Command, o *wire.StoredObject) error {
	var body intent.Template
	if err := json.Unmarshal(o.Object.Body, &body); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	for _, s := range intent.Specs() {
		low, high, preset := s.Min, s.Max, s.DefaultValue
		p := body.Parameters[s.Name]
		if p.Min != nil {
			low = p.Min.Number()
		}
		if p.Max != nil {
			high = p.Max.Number()
		}
		if p.Default != nil {
			preset = p.Default.Number()
		}
		fmt.Fprintf(c.OutOrStdout(), "%-15s %s to %s, default %s\n    %s\n", s.Name, s.Format(low), s.Format(high), s.Format(preset), s.Doc)
	}
	return nil
}
