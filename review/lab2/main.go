// Command lab2 plays the cases of the second review. It starts entry nodes as
// processes on loopback addresses, with a store, workers and clients of its own,
// and exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run.
//
// # Usage
//
//	lab2 CASE FOLDER
//
// The record of what was sent, answered and run goes to record.txt in the folder.
// With TROUBLE=0 in the environment the same is played without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxPlay bounds the time of a case.
const maxPlay = 115 * time.Second

// cases are the cases by name.
var cases = map[string]func(lb *lab) (broken bool, err error){}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		return exitFailed
	}
	lb, err := newLab(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer lb.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[args[0]](lb)
		done <- result{broken, err}
	}()
	select {
	case rs := <-done:
		switch {
		case rs.err != nil:
			lb.note("the case could not run: %v", rs.err)
			return exitFailed
		case rs.broken:
			lb.note("result: the rule was broken")
			return exitBroken
		}
		lb.note("result: the rule held")
		return exitHeld
	case <-time.After(maxPlay):
		lb.note("the case could not run: it took too long")
		return exitFailed
	}
}
