// Package cmd implements the oxbowsaddle command line, with one file per
// command.
package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/instance"
	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/wire"
)

const (
	callTimeout = 10 * time.Second
	defaultAddr = "127.0.0.1:8100"
)

// UsageError marks an error in the flags or arguments of a command.
type UsageError struct{ Err error }

// Error returns the message of the wrapped error.
func (e UsageError) Error() string { return e.Err.Error() }

// Main runs the command given by args and returns the exit code. The commands
// in more are added to the built-in ones.
func Main(args []string, out, errOut io.Writer, more ...*cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.AddCommand(more...)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	kind := fault.KindOf(err)
	var usage UsageError
	if errors.As(err, &usage) || isUsageError(err) {
		kind = fault.Usage
	}
	fmt.Fprintf(errOut, "oxbowsaddle: %s: %s\nnext: %s\n", kind.Name(), err, kind.Answer().NextStep())
	return kind.Answer().ExitCode()
}

// isUsageError reports whether err is one of cobra's own usage errors, which
// have no error type.
func isUsageError(err error) bool {
	return strings.HasPrefix(err.Error(), "unknown command") || strings.HasPrefix(err.Error(), "required flag")
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use: "oxbowsaddle", Short: "a layer-4 load balancer that keeps flows alive and explains its decisions",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return UsageError{err} })
	root.AddCommand(cmdEntry(), cmdSettings(), cmdAccept(), cmdTeam(), cmdTemplate(), cmdStatus(), cmdHistory(), cmdDiff(), cmdRevert(),
		cmdWhy(), cmdStats(), cmdUtilisation(), cmdControl(), cmdEvacuate(), cmdPlatform(), cmdDemo(), cmdVersion())
	return root
}

// connectionFlags holds the flags for the connection to an instance and the output.
type connectionFlags struct {
	addr        string
	certificate string
	key         string
	authority   string
	output      string
	extraTime   time.Duration // added to callTimeout
}

func (f *connectionFlags) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.addr, "addr", defaultAddr, "control address of an instance; any one will do")
	c.Flags().StringVar(&f.certificate, "certificate", "", "certificate file of the operator, for mutual TLS")
	c.Flags().StringVar(&f.key, "key", "", "private key file of the operator")
	c.Flags().StringVar(&f.authority, "authority", "", "certificate file of the certificate authority")
	c.Flags().StringVar(&f.output, "output", "text", "output format: text or json")
}

// call connects to the instance, runs send, and closes the connection.
func (f *connectionFlags) call(ctx context.Context, send func(context.Context, wire.DRPCControlClient) error) error {
	addr, err := netip.ParseAddrPort(f.addr)
	if err != nil {
		return UsageError{fmt.Errorf("--addr: %w", err)}
	}
	if f.output != "text" && f.output != "json" {
		return UsageError{fmt.Errorf("--output is text or json, not %q", f.output)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+f.extraTime)
	defer cancel()
	client, closeConn, err := instance.Dial(ctx, addr, settings.TLS{Certificate: f.certificate, Key: f.key, Authority: f.authority})
	if err != nil {
		return err
	}
	return errors.Join(send(ctx, client), closeConn())
}

// query holds the connection, the arguments and the output of a query command.
type query struct {
	client wire.DRPCControlClient
	args   []string
	out    io.Writer
	json   bool // print JSON instead of text
}

// newQueryCommand returns a command that takes argCount arguments, connects to
// an instance and calls run.
func newQueryCommand(use, short string, argCount int, run func(ctx context.Context, q query) error) *cobra.Command {
	var conn connectionFlags
	c := &cobra.Command{
		Use: use, Short: short, Args: exactArgs(argCount),
		RunE: func(c *cobra.Command, args []string) error {
			return conn.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
				return run(ctx, query{client: client, args: args, out: c.OutOrStdout(), json: conn.output == "json"})
			})
		},
	}
	conn.addFlags(c)
	return c
}

// getStatus fetches the status of an instance, with the accepted changes if
// history is set.
func getStatus(ctx context.Context, client wire.DRPCControlClient, history bool) (*wire.StatusReply, error) {
	s, err := client.Status(ctx, &wire.StatusRequest{History: history})
	return s, fault.Wrap(fault.Unreachable, err)
}

// replyError turns the kind and detail of a reply into an error.
func replyError(kind, detail string) error {
	k, err := fault.FromName(kind)
	if err != nil {
		k = fault.Internal
	}
	return fault.New(k, "%s", detail)
}

// PrintJSON writes v as indented JSON.
func PrintJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return UsageError{err}
		}
		return nil
	}
}
