// Package cmd holds the commands of the one binary, one file a command.
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
	callTimeout   = 10 * time.Second
	defaultTarget = "127.0.0.1:8100"
)

// UsageError marks an error of the command line itself.
type UsageError struct{ Err error }

// Error returns what is wrong with the line.
func (e UsageError) Error() string { return e.Err.Error() }

// Main runs the command line, with more commands beside its own, and returns
// the exit code.
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

// isUsageError reports whether the command line library itself refused the line.
func isUsageError(err error) bool {
	return strings.HasPrefix(err.Error(), "unknown command") || strings.HasPrefix(err.Error(), "required flag")
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use: "oxbowsaddle", Short: "a layer-4 load balancer that keeps flows up and explains itself",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return UsageError{err} })
	root.AddCommand(cmdEntry(), cmdSettings(), cmdAccept(), cmdTeam(), cmdTemplate(), cmdStatus(), cmdHistory(), cmdDiff(), cmdRevert(),
		cmdWhy(), cmdStats(), cmdControl(), cmdEvacuate(), cmdPlatform(), cmdDemo(), cmdVersion())
	return root
}

// connection is how a command reaches an instance.
type connection struct {
	addr        string
	certificate string
	key         string
	authority   string
	output      string
	extraTime   time.Duration // how much longer than callTimeout the call may take
}

func (conn *connection) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&conn.addr, "addr", defaultTarget, "control address of any instance")
	c.Flags().StringVar(&conn.certificate, "certificate", "", "operator's certificate, for mutual TLS")
	c.Flags().StringVar(&conn.key, "key", "", "operator's key")
	c.Flags().StringVar(&conn.authority, "authority", "", "certificate of the authority")
	c.Flags().StringVar(&conn.output, "output", "text", "text or json")
}

// call connects to the instance and makes one call.
func (conn *connection) call(ctx context.Context, send func(context.Context, wire.DRPCControlClient) error) error {
	addr, err := netip.ParseAddrPort(conn.addr)
	if err != nil {
		return UsageError{fmt.Errorf("--addr: %w", err)}
	}
	if conn.output != "text" && conn.output != "json" {
		return UsageError{fmt.Errorf("--output is text or json, not %q", conn.output)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+conn.extraTime)
	defer cancel()
	client, closeConn, err := instance.Dial(ctx, addr, settings.TLS{Certificate: conn.certificate, Key: conn.key, Authority: conn.authority})
	if err != nil {
		return err
	}
	return errors.Join(send(ctx, client), closeConn())
}

// query is one use of a command that asks an instance.
type query struct {
	client wire.DRPCControlClient
	args   []string
	out    io.Writer
	json   bool // a script reads the answer
}

// newQueryCommand returns a command with n arguments that asks an instance.
func newQueryCommand(use, short string, argCount int, run func(ctx context.Context, q query) error) *cobra.Command {
	var conn connection
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

// getStatus asks an instance what it holds.
func getStatus(ctx context.Context, client wire.DRPCControlClient, history bool) (*wire.StatusReply, error) {
	s, err := client.Status(ctx, &wire.StatusRequest{History: history})
	return s, fault.Wrap(fault.Unreachable, err)
}

// replyError returns the error of an answer that names its kind.
func replyError(kind, detail string) error {
	k, err := fault.FromName(kind)
	if err != nil {
		k = fault.Internal
	}
	return fault.New(k, "%s", detail)
}

// PrintJSON writes a value for a script to read.
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
