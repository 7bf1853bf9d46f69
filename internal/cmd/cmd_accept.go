package cmd

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/wire"
)

// change holds the flags of commands that offer a change.
type change struct {
	target
	id      string
	base    uint64
	confirm bool
	author  string
}

func (a *change) flags(c *cobra.Command) {
	a.target.flags(c)
	c.Flags().StringVar(&a.id, "id", "", "change id; made and printed where none is given, so that it can be resent")
	c.Flags().Uint64Var(&a.base, "base", 0, "revision that the change is based on; 0 takes the present one")
	c.Flags().BoolVar(&a.confirm, "confirm", false, "confirm a change that leaves a service without endpoints")
	c.Flags().StringVar(&a.author, "author", "", "who makes the change; your user name where empty")
}

func defaultAuthor() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// cmdAccept has a configuration file accepted.
func cmdAccept() *cobra.Command {
	var a change
	c := &cobra.Command{
		Use: "accept FILE", Short: "have a configuration accepted: durable on a majority, then in force everywhere",
		Long: "Offers every object of the file as one change. The answers: accepted; already accepted (the same id);\n" +
			"conflict (another change took an object since the base); invalid (every fault); needs confirmation;\n" +
			"no quorum (nothing decided here; sending the same id again is safe); not current.",
		Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			objects, err := readObjects(args[0])
			if err != nil {
				return err
			}
			return a.offer(c.Context(), c.OutOrStdout(), objects)
		},
	}
	a.flags(c)
	return c
}

func readObjects(path string) ([]*wire.Object, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidChange, err)
	}
	parsed, err := intent.ParseFile(data)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidChange, err)
	}
	var objects []*wire.Object
	for _, o := range parsed {
		objects = append(objects, &wire.Object{Kind: o.Kind, Name: o.Name, Body: o.Body})
	}
	return objects, nil
}

// offer sends the change and prints its answer.
func (a *change) offer(ctx context.Context, out io.Writer, objects []*wire.Object) error {
	if a.id == "" {
		a.id = rand.Text()
	}
	if a.author == "" {
		a.author = defaultAuthor()
	}
	return a.call(ctx, func(ctx context.Context, client wire.DRPCControlClient) error {
		base := a.base
		if base == 0 {
			s, err := askStatus(ctx, client, false)
			if err != nil {
				return err
			}
			base = s.Revision
		}
		reply, err := client.Submit(ctx, &wire.Change{Id: a.id, Author: a.author, Base: base, Confirmed: a.confirm, Objects: objects})
		if err != nil {
			return fault.Wrap(fault.NoQuorum, fmt.Errorf("change id %s: %w", a.id, err))
		}
		return a.print(out, reply)
	})
}

func (a *change) print(out io.Writer, r *wire.SubmitReply) error {
	if a.output == "json" {
		if err := PrintJSON(out, map[string]any{"id": a.id, "answer": r.Kind, "revision": r.Revision, "detail": r.Detail, "faults": r.Faults}); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "change id %s: %s", a.id, r.Kind)
		if r.Revision > 0 {
			fmt.Fprintf(out, ", revision %d", r.Revision)
		}
		fmt.Fprintln(out)
		for _, f := range r.Faults {
			fmt.Fprintln(out, "  "+f)
		}
	}
	if r.Kind == "accepted" || r.Kind == "already accepted" {
		return nil
	}
	return refusal(r.Kind, r.Detail)
}
