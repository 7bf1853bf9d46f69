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

// changeFlags holds the flags of commands that offer a changeFlags.
type changeFlags struct {
	connection
	id      string
	base    uint64
	confirm bool
	author  string
}

func (f *changeFlags) addFlags(c *cobra.Command) {
	f.connection.addFlags(c)
	c.Flags().StringVar(&f.id, "id", "", "change id; made and printed where none is given, so that it can be resent")
	c.Flags().Uint64Var(&f.base, "base", 0, "revision that the change is based on; 0 takes the present one")
	c.Flags().BoolVar(&f.confirm, "confirm", false, "confirm a change that leaves a service without endpoints")
	c.Flags().StringVar(&f.author, "author", "", "who makes the change; your user name where empty")
}

func defaultAuthor() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// cmdAccept has a configuration file accepted.
func cmdAccept() *cobra.Command {
	var flags changeFlags
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
			return flags.submit(c.Context(), c.OutOrStdout(), objects)
		},
	}
	flags.addFlags(c)
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

// submit sends the change and prints its answer.
func (f *changeFlags) submit(ctx context.Context, out io.Writer, objects []*wire.Object) error {
	if f.id == "" {
		f.id = rand.Text()
	}
	if f.author == "" {
		f.author = defaultAuthor()
	}
	return f.call(ctx, func(ctx context.Context, client wire.DRPCControlClient) error {
		base := f.base
		if base == 0 {
			s, err := getStatus(ctx, client, false)
			if err != nil {
				return err
			}
			base = s.Revision
		}
		reply, err := client.Submit(ctx, &wire.Change{Id: f.id, Author: f.author, Base: base, Confirmed: f.confirm, Objects: objects})
		if err != nil {
			return fault.Wrap(fault.NoQuorum, fmt.Errorf("change id %s: %w", f.id, err))
		}
		return f.printReply(out, reply)
	})
}

func (f *changeFlags) printReply(out io.Writer, r *wire.SubmitReply) error {
	if f.output == "json" {
		if err := PrintJSON(out, map[string]any{"id": f.id, "answer": r.Kind, "revision": r.Revision, "detail": r.Detail, "faults": r.Faults}); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "change id %s: %s", f.id, r.Kind)
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
	return replyError(r.Kind, r.Detail)
}
