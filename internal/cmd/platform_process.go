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
	// settingsPollInterval is how often the settings file is looked at for a change
	// that no signal tells of.
	settingsPollInterval = time.Second
	// heapShare is the part of the memory limit that the runtime may use; the
	// rest is for what it does not count.
	heapShare = 0.7
)

// platformProcess is what the two roles have in common.
type platformProcess struct {
	settings platform.Settings
	path     string
	log      *log.Logger
}

// startLogger returns a logger whose lines never wait for their reader, and what
// writes the last of them.
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

// setMemoryLimit has garbage collected early enough to stay under a limit in
// bytes; 0 is none.
func setMemoryLimit(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(limit)))
	}
}

// watchSettings reads the file again at SIGHUP and when its content changes.
func (p platformProcess) watchSettings(ctx context.Context, setSeeds func(seeds []netip.AddrPort)) error {
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

// reload takes the seeds of changed settings; what cannot be read changes
// nothing.
func (p platformProcess) reload(data []byte, cause string, setSeeds func(seeds []netip.AddrPort)) {
	settings, err := platform.Parse(data)
	if err != nil {
		p.log.Error("reload refused", "cause", cause, "error", err)
		return
	}
	p.log.Info("reload", "cause", cause, "seeds", settings.Seeds)
	setSeeds(settings.Seeds)
}

// ignoreShutdown drops the error that a planned stop ends with.
func ignoreShutdown(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
