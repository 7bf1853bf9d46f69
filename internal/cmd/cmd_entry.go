package cmd

import (
	"context"
	"errors"
	"time"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/instance"
	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/telemetry"
)

// cmdEntry runs an entry instance, which is also a control instance if its
// settings name a data folder.
func cmdEntry() *cobra.Command {
	var file, name string
	c := &cobra.Command{
		Use:   "entry --settings FILE --name NAME",
		Short: "run an entry instance; if it has a data folder, it is a control instance too",
		Long: "Runs the instance of this name from the settings. SIGTERM or an interrupt starts a planned stop:\n" +
			"the instance hands over its flows and requests, then exits.",
		Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			logger, err := telemetry.NewLogger(c.ErrOrStderr(), s.Log.Level, name)
			if err != nil {
				return err
			}
			inst, err := instance.New(instance.Config{Settings: s, Name: name, Log: logger, Now: time.Now})
			if err != nil {
				return err
			}
			return runUntilStopped(c.Context(), inst, s.Times.StopTimeout.Std())
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file")
	c.Flags().StringVar(&name, "name", "", "name of the instance in the settings")
	_ = c.MarkFlagRequired("settings")
	_ = c.MarkFlagRequired("name")
	return c
}

// instanceRun runs an instance in a goroutine and sends its result to done.
type instanceRun struct {
	instance *instance.Instance
	done     chan<- error
}

func (r instanceRun) run(ctx context.Context) { r.done <- r.instance.Run(ctx) }

// runUntilStopped runs the instance. When signalCtx ends, it starts a planned
// stop, which may take stopTimeout.
func runUntilStopped(signalCtx context.Context, inst *instance.Instance, stopTimeout time.Duration) error {
	done := make(chan error, 1)
	go instanceRun{inst, done}.run(context.WithoutCancel(signalCtx))
	select {
	case err := <-done:
		return err
	case <-signalCtx.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(signalCtx), stopTimeout)
	defer cancel()
	return errors.Join(inst.Stop(ctx), <-done)
}
