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

// usageError marks an error of the command line itself.
type usageError struct{ error }

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	kind := fault.KindOf(err)
	var usage usageError
	if errors.As(err, &usage) || isUsage(err) {
		kind = fault.Usage
	}
	fmt.Fprintf(errOut, "oxbowsaddle: %s: %s\nnext: %s\n", kind.Name(), err, kind.Answer().NextStep())
	return kind.Answer().ExitCode()
}

// isUsage reports whether the command line library itself refused the line.
func isUsage(err error) bool {
	return strings.HasPrefix(err.Error(), "unknown command") || strings.HasPrefix(err.Error(), "required flag")
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use: "oxbowsaddle", Short: "a layer-4 load balancer that keeps flows up and explains itself",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(cmdEntry(), cmdSettings(), cmdAccept(), cmdTeam(), cmdTemplate(), cmdStatus(), cmdHistory(), cmdDiff(), cmdRevert(),
		cmdWhy(), cmdStats(), cmdControl(), cmdDemo(), cmdLoad(), cmdSlopes(), cmdMan(), cmdVersion())
	return root
}

// target is how a command reaches an instance.
type target struct {
	addr        string
	certificate string
	key         string
	authority   string
	output      string
}

func (t *target) flags(c *cobra.Command) {
	c.Flags().StringVar(&t.addr, "addr", defaultTarget, "control address of any instance")
	c.Flags().StringVar(&t.certificate, "certificate", "", "operator's certificate, for mutual TLS")
	c.Flags().StringVar(&t.key, "key", "", "operator's key")
	c.Flags().StringVar(&t.authority, "authority", "", "certificate of the authority")
	c.Flags().StringVar(&t.output, "output", "text", "text or json")
}

// call connects to the instance and makes one call.
func (t *target) call(ctx context.Context, f func(context.Context, wire.DRPCControlClient) error) error {
	addr, err := netip.ParseAddrPort(t.addr)
	if err != nil {
		return usageError{fmt.Errorf("--addr: %w", err)}
	}
	if t.output != "text" && t.output != "json" {
		return usageError{fmt.Errorf("--output is text or json, not %q", t.output)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, done, err := instance.Dial(ctx, addr, settings.TLS{Certificate: t.certificate, Key: t.key, Authority: t.authority})
	if err != nil {
		return err
	}
	return errors.Join(f(ctx, client), done())
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}
