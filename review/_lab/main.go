// Command lab runs the scripts of this review: the project's own programs as separate processes
// on loopback, with stand-ins of clients, routers, endpoints and the operator.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases are the scripts by name. trouble is false for the run without the disruption.
var cases = map[string]func(b *lab, trouble bool) (int, error){
	"evacuation":    evacuated,
	"same-id":       sameID,
	"late-leave":    lateLeave,
	"without-born":  withoutBorn,
	"other-service": otherService,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: lab CASE FOLDER, at the root of the repository")
		os.Exit(unable)
	}
	b, err := newLab(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(unable)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		b.stop()
		os.Exit(unable)
	}()
	code, err := cases[os.Args[1]](b, os.Getenv("TROUBLE") != "0")
	if err != nil {
		b.record.say("the case could not run: %v", err)
		code = unable
	}
	b.record.say("exit %d", code)
	b.stop()
	os.Exit(code)
}
