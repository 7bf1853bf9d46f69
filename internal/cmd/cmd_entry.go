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

// cmdEntry runs an instance.
func cmdEntry() *cobra.Command {
	var file, name string
	c := &cobra.Command{
		Use:   "entry --settings FILE --name NAME",
		Short: "run an entry instance; with a data folder it is a control instance too",
		Long: "Runs the instance that the settings name. SIGTERM or an interrupt begins a planned stop:\n" +
			"the instance hands over what it holds and then ends.",
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
			i, err := instance.New(instance.Config{Settings: s, Name: name, Log: logger, Now: time.Now})
			if err != nil {
				return err
			}
			return runUntilStopped(c.Context(), i, s.Times.StopTimeout.Std())
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file")
	c.Flags().StringVar(&name, "name", "", "name of the instance in the settings")
	_ = c.MarkFlagRequired("settings")
	_ = c.MarkFlagRequired("name")
	return c
}

// instanceRun runs an instance and tells how that ended.
type instanceRun struct {
	instance *instance.Instance
	ended    chan<- error
}

// run runs it until it ends.
func (r instanceRun) run(ctx context.Context) { r.ended <- r.instance.Run(ctx) }

// runUntilStopped runs the instance; at a signal it stops as planned.
func runUntilStopped(signalled context.Context, i *instance.Instance, patience time.Duration) error {
	ended := make(chan error, 1)
	go instanceRun{i, ended}.run(context.WithoutCancel(signalled))
	select {
	case err := <-ended:
		return err
	case <-signalled.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(signalled), patience)
	defer cancel()
	return errors.Join(i.Stop(ctx), <-ended)
}
