package cmd

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"oxbowsaddle/internal/telemetry"
	"oxbowsaddle/platform"
)

const (
	// settingsPollInterval is how often the settings file is checked for changes
	// without a SIGHUP.
	settingsPollInterval = time.Second
	// heapShare is the share of the memory limit given to the Go runtime; the rest
	// is for memory that the runtime does not count.
	heapShare = 0.7
)

// platformProcess holds what entry and control processes have in common.
type platformProcess struct {
	settings platform.Settings
	path     string // of the settings file
	log      *log.Logger
}

// startLogger returns a logger that never blocks on out, and a function that
// flushes it and stops it.
func startLogger(ctx context.Context, out io.Writer, name string) (*log.Logger, func(), error) {
	lines := telemetry.NewLineWriter(out)
	logger, err := telemetry.NewLogger(lines, "info", name)
	if err != nil {
		return nil, nil, err
	}
	writerCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var writer sync.WaitGroup
	writer.Go(func() { lines.Run(writerCtx) })
	return logger, func() {
		stop()
		writer.Wait()
	}, nil
}

// setMemoryLimit sets the soft memory limit of the Go runtime to a share of
// limit, which is in bytes; 0 means no limit.
func setMemoryLimit(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(limit)))
	}
}

// settingsLoop reloads the settings file at SIGHUP and when its content
// changes, until ctx ends.
func (p platformProcess) settingsLoop(ctx context.Context, setSeeds func(seeds []netip.AddrPort)) error {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastData, err := os.ReadFile(p.path)
	if err != nil {
		p.log.Error("settings cannot be read", "file", p.path, "error", err)
	}
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
		if err != nil {
			p.log.Error("settings cannot be read", "file", p.path, "cause", cause, "error", err)
			continue
		}
		if bytes.Equal(data, lastData) && cause != "SIGHUP" {
			continue
		}
		lastData = data
		p.reload(data, cause, setSeeds)
	}
}

// reload applies the seeds of new settings, the only field that can change while
// the process runs. Invalid settings are logged and change nothing.
func (p platformProcess) reload(data []byte, cause string, setSeeds func(seeds []netip.AddrPort)) {
	settings, err := platform.Parse(data)
	if err != nil {
		p.log.Error("reload refused", "cause", cause, "error", err)
		return
	}
	p.log.Info("reload", "cause", cause, "seeds", settings.Seeds)
	setSeeds(settings.Seeds)
}

// ignoreShutdown returns nil for the errors that a planned stop ends with.
func ignoreShutdown(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
