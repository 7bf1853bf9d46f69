package cmd

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/node"
	"oxbowsaddle/internal/telemetry"
	"oxbowsaddle/platform"
)

const (
	// settingsPoll is how often the settings file is looked at for a change
	// that no signal tells of.
	settingsPoll = time.Second
	// headerTimeout ends a call whose header does not come.
	headerTimeout = 2 * time.Second
	// keptOpen ends a connection between calls, above an endpoint's
	// heartbeat period.
	keptOpen = 10 * time.Second
)

// cmdPlatform runs the processes of a fleet on the users' platform.
func cmdPlatform() *cobra.Command {
	c := &cobra.Command{Use: "platform", Short: "run on the users' platform"}
	c.AddCommand(
		cmdPlatformRun("entry", "run an entry: it carries callers' packets", runEntry),
		cmdPlatformRun("control", "run a control instance: it keeps the document and the list of endpoints", runControl),
		cmdPlatformCheck(),
	)
	return c
}

// platformProcess is what the two roles have in common.
type platformProcess struct {
	settings platform.Settings
	path     string
	log      *log.Logger
}

func cmdPlatformRun(use, short string, run func(ctx context.Context, p platformProcess) error) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: exactArgs(0),
		Long: short + ".\nThe environment variable " + platform.SettingsVariable + " names the settings file.\n" +
			"SIGTERM begins a planned stop; SIGHUP, or a change of the file, has it read again.",
		RunE: func(c *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsVariable)
			settings, err := platform.Load(path)
			if err != nil {
				return err
			}
			limitMemory(settings.Memory)
			lines := telemetry.NewLineWriter(c.OutOrStdout())
			logger, err := telemetry.NewLogger(lines, "info", settings.Name)
			if err != nil {
				return err
			}
			logging, stopLogging := context.WithCancel(context.WithoutCancel(c.Context()))
			flushed := make(chan struct{})
			go func() {
				defer close(flushed)
				lines.Run(logging)
			}()
			defer func() {
				stopLogging()
				<-flushed
			}()
			logger.Info("start", "role", use, "domain", settings.Domain, "seeds", settings.Seeds, "first", settings.First)
			return run(c.Context(), platformProcess{settings: settings, path: path, log: logger})
		},
	}
}

// limitMemory has garbage collected early enough to stay under a limit; 0 is
// none.
func limitMemory(bytes int64) {
	const share = 0.7 // the rest is for what the runtime does not count
	if bytes > 0 {
		debug.SetMemoryLimit(int64(share * float64(bytes)))
	}
}

func cmdPlatformCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "check a settings file of the platform and print every fault", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := platform.Load(args[0])
			if err != nil {
				return err
			}
			return PrintJSON(c.OutOrStdout(), s)
		},
	}
}

func runEntry(ctx context.Context, p platformProcess) error {
	s := p.settings
	if !s.Packets.IsValid() {
		return fault.New(fault.InvalidSettings, "settings: serves: an entry serves callers")
	}
	entry := node.NewEntry(node.EntryConfig{
		Name: s.Name, Domain: s.Domain, Packets: s.Packets, Seeds: s.Seeds, MaxFlow: s.MaxFlow, Grace: s.Grace,
		Codec: node.Codec{Decode: platform.DecodePacket, Forward: platform.ForwardPacket, Reset: platform.ResetPacket},
		Log:   p.log, Now: node.SteadyClock(),
	})
	group, running := errgroup.WithContext(context.WithoutCancel(ctx))
	running, end := context.WithCancel(running)
	defer end()
	group.Go(func() error { return entry.Run(running) })
	group.Go(func() error { return serveHTTP(running, s.Readiness, platform.ReadinessHandler(entry.Ready)) })
	group.Go(func() error { return serveMetrics(running, p, entry.WriteMetrics) })
	group.Go(func() error {
		return p.watchSettings(running, func(seeds []netip.AddrPort) { entry.SetSeeds(running, seeds) })
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
			entry.Stop(running)
			p.log.Info("stop")
			end()
		case <-running.Done():
		}
		return nil
	})
	return ended(group.Wait())
}

func runControl(ctx context.Context, p platformProcess) error {
	s := p.settings
	if !s.Control.IsValid() {
		return fault.New(fault.InvalidSettings, "settings: serves: a control instance serves operators and endpoints")
	}
	const perLoss = 2 // so many voters more for each lost instance, and one
	control := node.NewControl(node.ControlConfig{
		Domain: s.Domain, Peer: s.Peer, Front: s.Control.String(), Seeds: s.Seeds, First: s.First, Data: s.Data,
		Voters: perLoss*s.Losses + 1, Beat: s.Beat, Log: p.log, Now: node.SteadyClock(),
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return control.Run(ctx) })
	group.Go(func() error { return serveHTTP(ctx, s.Control, platform.ControlHandler(control)) })
	group.Go(func() error { return serveMetrics(ctx, p, control.WriteMetrics) })
	group.Go(func() error {
		return p.watchSettings(ctx, func(seeds []netip.AddrPort) { control.SetSeeds(ctx, seeds) })
	})
	err := ended(group.Wait())
	p.log.Info("stop", "error", err)
	return err
}

// ended drops the error that a planned stop ends with.
func ended(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serveMetrics serves figures; a port that is taken costs the figures only.
func serveMetrics(ctx context.Context, p platformProcess, write func(io.Writer)) error {
	if err := serveHTTP(ctx, p.settings.Metrics, platform.MetricsHandler(write)); ctx.Err() == nil {
		p.log.Error("no metrics", "address", p.settings.Metrics, "error", err)
	}
	return nil
}

func serveHTTP(ctx context.Context, addr netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return fault.Wrap(fault.AddressInUse, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: keptOpen}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(listener)
}

// watchSettings reads the file again at SIGHUP and when its content changes.
func (p platformProcess) watchSettings(ctx context.Context, take func(seeds []netip.AddrPort)) error {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last, _ := os.ReadFile(p.path) // a change is seen at the next look
	for {
		cause := "file changed"
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangUp:
			cause = "SIGHUP"
		case <-ticker.C:
		}
		data, err := os.ReadFile(p.path)
		if err != nil || bytes.Equal(data, last) && cause != "SIGHUP" {
			continue
		}
		last = data
		settings, err := platform.Parse(data)
		if err != nil {
			p.log.Error("reload refused", "cause", cause, "error", err)
			continue
		}
		p.log.Info("reload", "cause", cause, "seeds", settings.Seeds)
		take(settings.Seeds)
	}
}
