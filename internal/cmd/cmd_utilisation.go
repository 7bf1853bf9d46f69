package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// cmdUtilisation shows the utilisation of services and what is rejected.
func cmdUtilisation() *cobra.Command {
	var conn connectionFlags
	var service string
	var all bool
	c := &cobra.Command{
		Use: "utilisation [ADDR...]", Short: "show the utilisation of each service, and what is admitted and rejected for load",
		Long: "Asks the instances at the control addresses ADDR, or the one of --addr. A control instance shows the pools that it\n" +
			"allocates: the endpoints of one service in one failure domain, with the credits and requests in progress over all\n" +
			"entries. Other control instances may allocate other pools, so give all of them for the whole picture. An entry shows\n" +
			"its own services and routes. While a service is far from full, no instance counts its requests, and it is not shown.",
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				args = []string{conn.addr}
			}
			replies, err := conn.askUtilisation(c.Context(), args, &wire.UtilisationRequest{Service: service})
			switch {
			case len(replies) == 0:
				return err
			case conn.output == "json":
				return errors.Join(PrintJSON(c.OutOrStdout(), replies), err)
			default:
				return errors.Join(printUtilisation(c.OutOrStdout(), replies, all), err)
			}
		},
	}
	conn.addFlags(c)
	c.Flags().StringVar(&service, "service", "", "show only this service, and all routes")
	c.Flags().BoolVar(&all, "all", false, "include pools without requests, services that are far from full, and routes without new flows")
	return c
}

// askUtilisation asks all instances at once, since some of them may not respond. It returns
// the replies in the order of the addresses, and the errors of the other instances.
func (f *connectionFlags) askUtilisation(ctx context.Context, addrs []string, r *wire.UtilisationRequest) ([]*wire.UtilisationReply, error) {
	byAddr, errs := make([]*wire.UtilisationReply, len(addrs)), make([]error, len(addrs))
	var calls sync.WaitGroup
	for n, addr := range addrs {
		one := *f
		one.addr = addr
		calls.Go(func() { byAddr[n], errs[n] = one.utilisation(ctx, r) })
	}
	calls.Wait()
	var replies []*wire.UtilisationReply
	for _, reply := range byAddr {
		if reply != nil {
			replies = append(replies, reply)
		}
	}
	return replies, errors.Join(errs...)
}

// utilisation asks one instance.
func (f *connectionFlags) utilisation(ctx context.Context, r *wire.UtilisationRequest) (reply *wire.UtilisationReply, err error) {
	err = f.call(ctx, func(ctx context.Context, client wire.DRPCControlClient) (err error) {
		reply, err = client.Utilisation(ctx, r)
		return fault.Wrap(fault.Unreachable, err)
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.addr, err)
	}
	return reply, nil
}

// printUtilisation prints one table of pools, of services and of routes with the rows of all
// instances, and a line for each instance that has no row.
func printUtilisation(w io.Writer, replies []*wire.UtilisationReply, all bool) error {
	pools := table{heads: poolHeads}
	services, routes := table{heads: serviceHeads}, table{heads: routeHeads}
	for _, r := range replies {
		before := pools.len() + services.len() + routes.len()
		pools.addPools(r, all)
		services.addServices(r, all)
		routes.addRoutes(r, all)
		switch {
		case !r.Enabled:
			fmt.Fprintf(w, "%s: admission control is off\n", r.Name)
		case pools.len()+services.len()+routes.len() == before:
			fmt.Fprintf(w, "%s: admission control is on; nothing is near its slots\n", r.Name)
		}
	}
	return errors.Join(pools.print(w), services.print(w), routes.print(w))
}
