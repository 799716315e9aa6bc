// Command lab3 runs the cases of the review that are scripts. It starts the system's program
// as processes, and stands in for the platform, its workers and its clients.
//
//	lab3 CASE FOLDER                    runs a case; the record goes to the folder
//	lab3 worker ID ADDRESS BORN MODEL   is the process of a worker
//
// With TROUBLE=0 a case runs without its disruption. With KEEP=FOLDER the logs of the machines
// are copied there.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit bounds the duration of a case.
const caseLimit = 110 * time.Second

// cases are the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(lb *lab, trouble bool) error{
	"plain-crash":    plainCrash,
	"draining-crash": drainingCrash,
	"frozen-restart": frozenRestart,
	"leaving-unseen": leavingUnseen,
	"moved-route":    movedRoute,
	"frozen-release": frozenRelease,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) == 5 && args[0] == "worker" {
		return serveWorker(args[1:])
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE FOLDER")
		return exitNotRun
	}
	lb, err := newLab(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer lb.end()
	ended := make(chan error, 1)
	go func() { ended <- cases[args[0]](lb, os.Getenv("TROUBLE") != "0") }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-ended:
	case sg := <-signals:
		err = fmt.Errorf("ended by %v", sg)
	case <-time.After(caseLimit):
		err = fmt.Errorf("not done after %v", caseLimit)
	}
	if err != nil {
		lb.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return lb.verdict()
}

// verdict prints the result and returns the exit code.
func (lb *lab) verdict() int {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	if len(lb.violated) == 0 {
		_, _ = fmt.Fprintln(lb.record, "rule held")
		fmt.Println("rule held")
		return exitHeld
	}
	_, _ = fmt.Fprintf(lb.record, "rule broken %d times\n", len(lb.violated))
	fmt.Printf("rule broken %d times; first: %s\n", len(lb.violated), lb.violated[0])
	return exitBroken
}
