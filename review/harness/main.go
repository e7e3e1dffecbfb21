package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	cases := map[string]func(r *rig, trouble bool) int{
		"cancel": cancelLost,
		"failed": failedUnrun,
		"silent": cancelUnseen,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs a case and ends everything that it started.
func runCase(run func(r *rig, trouble bool) int, record string) int {
	r, err := newRig(record, "edge-a", "edge-b", "edge-c")
	if r != nil {
		defer r.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		r.close()
		os.Exit(notRun)
	}()
	code := run(r, os.Getenv("TROUBLE") != "0")
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[code]
	r.logf("result: %s", verdict)
	fmt.Println(verdict)
	return code
}
