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

// changeFlags holds the flags of the commands that submit a change.
type changeFlags struct {
	connectionFlags
	id      string
	base    uint64
	confirm bool
	author  string
}

func (f *changeFlags) addFlags(c *cobra.Command) {
	f.connectionFlags.addFlags(c)
	c.Flags().StringVar(&f.id, "id", "", "change id; if empty, a random one is generated and printed, so that the change can be sent again under it")
	c.Flags().Uint64Var(&f.base, "base", 0, "revision that the change is based on; 0 means the current one")
	c.Flags().BoolVar(&f.confirm, "confirm", false, "accept a change even if it leaves a service without endpoints")
	c.Flags().StringVar(&f.author, "author", "", "author of the change; defaults to your user name")
}

func defaultAuthor() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// cmdAccept submits a configuration file.
func cmdAccept() *cobra.Command {
	var flags changeFlags
	c := &cobra.Command{
		Use: "accept FILE", Short: "submit a configuration; once a majority has stored it, it is rolled out to all instances",
		Long: "Submits all objects of the file as one change. Answers: accepted; already accepted (under the same id);\n" +
			"conflict (another change has altered an object since the base revision); invalid (with every error); needs\n" +
			"confirmation; no quorum (outcome unknown; sending the same id again is safe); not current.",
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

// submit sends the objects as one change, based on the current revision unless
// --base is given, and prints the reply.
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

func (f *changeFlags) printReply(out io.Writer, reply *wire.SubmitReply) error {
	if f.output == "json" {
		if err := PrintJSON(out, map[string]any{"id": f.id, "answer": reply.Kind, "revision": reply.Revision, "detail": reply.Detail, "faults": reply.Faults}); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "change id %s: %s", f.id, reply.Kind)
		if reply.Revision > 0 {
			fmt.Fprintf(out, ", revision %d", reply.Revision)
		}
		fmt.Fprintln(out)
		for _, f := range reply.Faults {
			fmt.Fprintln(out, "  "+f)
		}
	}
	if reply.Kind == "accepted" || reply.Kind == "already accepted" {
		return nil
	}
	return replyError(reply.Kind, reply.Detail)
}
