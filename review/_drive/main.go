// Command drive runs one case of the review against processes of the system.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in its environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	unable = 2
)

// maxRunTime bounds a run.
const maxRunTime = 115 * time.Second

// run is one run of a case.
type run struct {
	record  *recorder
	trouble bool
}

func main() {
	cases := map[string]func(run) (int, error){"foreign": foreignHeartbeat, "majority": lostMajority, "evacuation": evacuated, "late": lateHeartbeat}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		os.Exit(unable)
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := cases[os.Args[1]](run{record, os.Getenv("TROUBLE") != "0"})
		done <- result{code, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		if r.err != nil {
			record.printf("the case could not run: %s", r.err)
			os.Exit(unable)
		}
		record.printf("result: %d", r.code)
		os.Exit(r.code)
	case <-stop:
	case <-time.After(maxRunTime):
	}
	record.printf("the case did not end in time")
	endAll()
	os.Exit(unable)
}
