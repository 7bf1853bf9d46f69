package cmd

import (
	"context"
	"net/netip"
	"os"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/node"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/platform"
)

// cmdPlatform runs the entry and control processes on the users' platform,
// which starts them and writes their settings files.
func cmdPlatform() *cobra.Command {
	c := &cobra.Command{Use: "platform", Short: "run a process on the users' platform"}
	c.AddCommand(
		newPlatformRole("entry", "run an entry instance, which forwards packets between clients and endpoints", runEntry),
		newPlatformRole("control", "run a control instance, which stores the configuration document and the list of endpoints", runControl),
		cmdPlatformCheck(),
	)
	return c
}

// newPlatformRole returns a command that runs a process in one role until it is
// stopped.
func newPlatformRole(use, short string, run func(ctx context.Context, p platformProcess) error) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: exactArgs(0),
		Long: short + ".\nThe environment variable " + platform.SettingsVariable + " names the settings file.\n" +
			"SIGTERM starts a planned stop. The file is read again at SIGHUP and when it changes.",
		RunE: func(c *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsVariable)
			settings, err := platform.Load(path)
			if err != nil {
				return err
			}
			setMemoryLimit(settings.MemoryLimit)
			logger, stopLogging, err := startLogger(c.Context(), c.OutOrStdout(), settings.Name)
			if err != nil {
				return err
			}
			defer stopLogging()
			logger.Info("start", "role", use, "domain", settings.Domain, "seeds", settings.Seeds, "first", settings.FirstStart)
			return run(c.Context(), platformProcess{settings: settings, path: path, log: logger})
		},
	}
}

// cmdPlatformCheck prints the parsed settings file, or every error in it.
func cmdPlatformCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "check a settings file of the platform and list every error in it", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := platform.Load(args[0])
			if err != nil {
				return err
			}
			return PrintJSON(c.OutOrStdout(), s)
		},
	}
}

// runEntry runs an entry until ctx ends and its planned stop is complete.
func runEntry(ctx context.Context, p platformProcess) error {
	s := p.settings
	if !s.PacketAddr.IsValid() {
		return fault.New(fault.InvalidSettings, "settings: serves: no address for packets, which an entry needs")
	}
	entry := node.NewEntry(node.EntryConfig{
		Name: s.Name, Domain: s.Domain, PacketAddr: s.PacketAddr, OperatorAddr: s.OperatorAddr, AdmissionAddr: s.AdmissionAddr, LinkCapacity: s.LinkCapacity, Seeds: s.Seeds,
		ToleratedLosses: s.ToleratedLosses, MaxFlowAge: s.MaxFlowAge, GracePeriod: s.GracePeriod, HeartbeatInterval: s.HeartbeatInterval,
		Codec: node.Codec{Decode: platform.DecodePacket, Forward: platform.ForwardPacket, Reset: platform.ResetPacket},
		Dial:  node.DialTCP, Probe: node.ProbeTCP, Log: p.log, Now: node.MonotonicClock(),
	})
	group, runCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	runCtx, cancel := context.WithCancel(runCtx)
	defer cancel()
	group.Go(func() error { return entry.Run(runCtx) })
	group.Go(func() error { return serveHTTP(runCtx, s.ReadinessAddr, platform.ReadinessHandler(entry.Ready)) })
	group.Go(func() error { return serveMetrics(runCtx, p, entry.WriteMetrics) })
	group.Go(func() error {
		return p.settingsLoop(runCtx, func(seeds []netip.AddrPort) { entry.SetSeeds(runCtx, seeds) })
	})
	group.Go(func() error {
		stopOnSignal(ctx, runCtx, entry, p.log)
		cancel()
		return nil
	})
	return ignoreShutdown(group.Wait())
}

// stopOnSignal starts a planned stop of the entry when ctx ends and waits for
// it. It returns early if the entry is no longer running.
func stopOnSignal(ctx, runCtx context.Context, entry *node.Entry, logger *log.Logger) {
	select {
	case <-ctx.Done():
		entry.Stop(runCtx)
		logger.Info("stop")
	case <-runCtx.Done():
	}
}

// runControl runs a control instance until ctx ends.
func runControl(ctx context.Context, p platformProcess) error {
	s := p.settings
	if !s.ControlAddr.IsValid() {
		return fault.New(fault.InvalidSettings, "settings: serves: no address for operators and endpoints, which a control instance needs")
	}
	const votersPerLoss = 2 // a majority must remain: 2n+1 voters tolerate n losses
	control := node.NewControl(node.ControlConfig{
		Domain: s.Domain, Domains: s.Domains, PeerAddr: s.PeerAddr, Front: s.ControlAddr.String(), Seeds: s.Seeds, FirstStart: s.FirstStart,
		OpenFiles: func() (storage.Files, error) { return storage.Folder(s.DataFolder) },
		Voters:    votersPerLoss*s.ToleratedLosses + 1, HeartbeatInterval: s.HeartbeatInterval, AdmissionControl: s.AdmissionControl, Dial: node.DialTCP, Log: p.log, Now: node.MonotonicClock(),
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return control.Run(ctx) })
	group.Go(func() error { return serveHTTP(ctx, s.ControlAddr, platform.ControlHandler(control)) })
	group.Go(func() error { return serveMetrics(ctx, p, control.WriteMetrics) })
	group.Go(func() error {
		return p.settingsLoop(ctx, func(seeds []netip.AddrPort) { control.SetSeeds(ctx, seeds) })
	})
	err := ignoreShutdown(group.Wait())
	p.log.Info("stop", "error", err)
	return err
}
