package main

import (
	"fmt"
	"strings"
	"time"
)

// appliedWithin is apply_ms of the settings, with a margin for the stand-in.
const appliedWithin = 2*time.Second + 500*time.Millisecond

// movedRoute has the operator move a route to another service, whose name has a colon. What is
// sent later than apply_ms after that belongs to the new service.
func movedRoute(lb *lab, trouble bool) error {
	const former, next = "orders-app", "orders:v2"
	routeTo := func(service string) []route {
		return []route{{name: "r-lookup", prefix: "/lookup/", kind: "idempotent", service: service, timeout: 8000, goal: 3000, attempts: 2}}
	}
	lb.configure(7, routeTo(former), plainService(former))
	if _, err := lb.startWorker("i-former", former, "127.0.0.1:0", ""); err != nil {
		return err
	}
	if _, err := lb.startWorker("i-next", next, "127.0.0.1:0", ""); err != nil {
		return err
	}
	nodes, err := lb.startNodes(3, nil)
	if err != nil {
		return err
	}
	for _, nd := range nodes {
		defer nd.keepLog()
	}
	time.Sleep(time.Second)
	expected := "seal-i-former"
	if trouble {
		lb.configure(12, routeTo(next), plainService(former), plainService(next))
		expected = "seal-i-next"
	}
	for round := range 4 {
		time.Sleep(appliedWithin)
		for _, nd := range nodes {
			id := newID()
			lb.note("client: sends %s to %s", id, nd.name)
			an := send(nd.front, "GET", "/lookup/2f", id, "", 6*time.Second)
			lb.note("client: %s, seal %q", an, an.seal)
			if strings.HasPrefix(an.seal, "seal-") && an.seal != expected {
				lb.violate("CONFIG: %s, sent %s after the acknowledgement of version 12, was run by %s", id, fmt.Sprint(time.Duration(round+1)*appliedWithin), an.seal)
			}
		}
	}
	return nil
}
