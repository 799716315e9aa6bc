// Command review-lab plays the scripted cases of the review. It starts the project's
// program as separate processes on loopback addresses, together with a store, workers and
// clients, disturbs them as the case says, and checks one rule by what the clients and the
// workers saw.
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment the case runs without its disruption.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// lab is one run of a case.
type lab struct {
	began   time.Time
	folder  string
	trouble bool
	store   *store
	nodes   []*node
	workers []*worker
	orders  orders
	stop    chan struct{}

	mu     sync.Mutex
	record io.Writer
}

// note writes a line to the record.
func (lb *lab) note(format string, args ...any) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	_, _ = fmt.Fprintf(lb.record, "%8.3f  %s\n", time.Since(lb.began).Seconds(), fmt.Sprintf(format, args...))
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *out))
}

func play(name, out string) int {
	cases := map[string]func(*lab) (verdict, error){
		"split":   playSplit,
		"restart": playRestart,
		"upgrade": playUpgrade,
		"roll":    playRoll,
		"plain":   playPlain,
		"drill":   playDrill,
		"bodies":  playBodies,
		"storm":   playDescriptors,
	}
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	folder, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(folder) }()
	lb := &lab{began: time.Now(), folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: file, stop: make(chan struct{})}
	defer lb.close()
	vd, err := run(lb)
	if err != nil {
		lb.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	lb.note("%s", vd.text)
	fmt.Println(vd.text)
	if vd.broken {
		return exitBroken
	}
	return exitHeld
}

// close ends all processes that the lab started.
func (lb *lab) close() {
	close(lb.stop)
	for _, nd := range lb.nodes {
		nd.end()
	}
	for _, wk := range lb.workers {
		wk.end()
	}
	if lb.store != nil {
		lb.store.close()
	}
}
