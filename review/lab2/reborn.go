package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["reborn"] = playReborn }

const (
	// pathCut is how long one node has no path to one worker. It is shorter than the gap
	// after which clients abandon a stream: eight times gap_aim_ms.
	pathCut = 3500 * time.Millisecond
	// crashAfter is when the worker crashes behind the cut, and backAfter when it is back.
	crashAfter = 200 * time.Millisecond
	backAfter  = 2800 * time.Millisecond
)

// playReborn cuts one node off from one worker. The worker crashes behind the cut and
// starts again. Clients read streams that end with the worker's connection.
func playReborn(lb *lab) (bool, error) {
	lb.linked = true
	var workers []*worker
	for ix := range 3 {
		wk, err := lb.newWorker(fmt.Sprintf("w%d", ix+1), "llm")
		if err != nil {
			return false, err
		}
		wk.pause, wk.unframed = streamPause, os.Getenv("FRAMED") != "1"
		workers = append(workers, wk)
	}
	lb.store.Put("op/config", []byte(config))
	if err := lb.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var open sync.WaitGroup
	complete, short, failed := 0, 0, 0
	until := time.Now().Add(10 * time.Second)
	if lb.trouble {
		open.Go(func() { cutAndCrash(lb.nodes[0], workers[0]) })
	}
	for ix, nd := range lb.nodes {
		cl := newClient()
		open.Go(func() {
			every(until, 200*time.Millisecond, &open, func(number int) {
				id := fmt.Sprintf("s%d-%d", ix+1, number)
				an := lb.send(cl, nd, "POST", "/stream/a", id, []byte("ask"), 15*time.Second, nil)
				mu.Lock()
				defer mu.Unlock()
				switch events := strings.Count(an.body, "\ndata: "); {
				case !an.served():
					failed++
				case events < workers[0].events:
					short++
					lb.note("%s ended as complete after %d of %d events", id, events, workers[0].events)
				default:
					complete++
				}
			})
		})
	}
	open.Wait()
	lb.note("%d streams complete, %d failed or broken off, %d ended as complete before their last event", complete, failed, short)
	return short > 0, nil
}

// cutAndCrash plays the disruption. While the worker is down its address refuses all
// connections, also those of the node that is cut off; before and after that, the new ones
// of that node hang like the open ones.
func cutAndCrash(nd *node, wk *worker) {
	time.Sleep(5 * time.Second)
	began := time.Now()
	nd.lb.note("%s has no path to %s", nd.name, wk.id)
	wk.link.setCut(nd, true)
	time.Sleep(time.Until(began.Add(crashAfter)))
	wk.crash()
	time.Sleep(time.Until(began.Add(backAfter)))
	if err := wk.restart(); err != nil {
		nd.lb.note("%s does not start: %v", wk.id, err)
	}
	time.Sleep(time.Until(began.Add(pathCut)))
	nd.lb.note("%s has its path to %s again", nd.name, wk.id)
	wk.link.setCut(nd, false)
}

// crash ends the worker's process: its connections end, and it registers no more.
func (wk *worker) crash() {
	wk.mu.Lock()
	wk.left = true
	wk.mu.Unlock()
	wk.lb.note("%s crashes", wk.id)
	wk.link.refuse()
	_ = wk.server.Close()
}

// restart starts the worker again, at its address and as a new incarnation.
func (wk *worker) restart() error {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", wk.link.target)
	if err != nil {
		return err
	}
	wk.lb.note("%s starts again", wk.id)
	wk.mu.Lock()
	wk.server, wk.left = &http.Server{Handler: wk}, false
	wk.born, wk.sequence = time.Now().UnixMilli(), 0
	go func(sv *http.Server) { _ = sv.Serve(ln) }(wk.server)
	wk.mu.Unlock()
	if err := wk.link.accept(); err != nil {
		return err
	}
	wk.register()
	return nil
}
