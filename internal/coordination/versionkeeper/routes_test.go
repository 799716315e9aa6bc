package versionkeeper_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/versionkeeper"
)

// A stream of a route that leads, or led, to pools with different versions was unknown
// to all other nodes once the node that served it was lost, or went on in another pool.
func TestOriginIsFoundAmongThePoolsOfARoute(t *testing.T) {
	serverOf := map[string]versionkeeper.Process{
		"p": {Server: "w1", Pool: "p", Software: "v1", Incarnation: 1},
		"q": {Server: "w2", Pool: "q", Software: "v2", Incarnation: 1},
		"r": {Server: "w3", Pool: "r", Software: "v1", Incarnation: 1},
	}
	// began has the stream begin at n0.
	began := func(fl *fleet, pool string) { fl.nodes["n0"].keeper.Began("s", serverOf[pool]) }
	// configure has all nodes take up the routes.
	configure := func(fl *fleet, routes ...versionkeeper.Route) {
		fl.routes = routes
		fl.syncAll()
		time.Sleep(time.Second)
		fl.syncAll()
	}
	for name, tc := range map[string]struct {
		before func(fl *fleet) // before the stream is taken up at n1
		want   versionkeeper.Origin
	}{
		"pools of two versions, the node is lost": {func(fl *fleet) {
			configure(fl, route("/s/", "p", "q"))
			began(fl, "q")
			time.Sleep(time.Second)
			fl.start("n0")
		}, versionkeeper.Origin{Pool: "q", Software: "v2"}},
		"the second pool joins the route after the stream began, and the node is lost": {func(fl *fleet) {
			configure(fl, route("/s/", "p"))
			began(fl, "p")
			configure(fl, route("/s/", "p", "q"))
			fl.start("n0")
		}, versionkeeper.Origin{Pool: "p", Software: "v1"}},
		"the route moves to another pool after the stream began, and the node is lost": {func(fl *fleet) {
			configure(fl, route("/s/", "p"))
			began(fl, "p")
			configure(fl, route("/s/", "q"))
			fl.start("n0")
		}, versionkeeper.Origin{Pool: "p", Software: "v1"}},
		"the route moves to another pool while the node is lost": {func(fl *fleet) {
			configure(fl, route("/s/", "p"))
			began(fl, "p")
			fl.start("n0")
			configure(fl, route("/s/", "q"))
		}, versionkeeper.Origin{}},
		"the asking node has just started, and others saw the route move": {func(fl *fleet) {
			configure(fl, route("/s/", "p"))
			began(fl, "p")
			fl.start("n0")
			configure(fl, route("/s/", "q"))
			fl.start("n1")
		}, versionkeeper.Origin{}},
		"a route for a part of the requests is added, and the node is lost": {func(fl *fleet) {
			configure(fl, route("/", "p"))
			began(fl, "p")
			configure(fl, route("/s/", "q"), route("/", "p"))
			fl.start("n0")
		}, versionkeeper.Origin{Pool: "p", Software: "v1"}},
		"a route for a part of the requests is removed, and the node is lost": {func(fl *fleet) {
			configure(fl, route("/s/x/", "q"), route("/s/", "p"))
			began(fl, "q")
			configure(fl, route("/s/", "p"))
			fl.start("n0")
		}, versionkeeper.Origin{Pool: "q", Software: "v2"}},
		"lost before it told": {func(fl *fleet) {
			configure(fl, route("/s/", "p", "q"))
			began(fl, "q")
			fl.start("n0")
		}, versionkeeper.Origin{}},
		"pools of one version, all nodes are lost": {func(fl *fleet) {
			configure(fl, route("/s/", "p", "r"))
			began(fl, "r")
			fl.startAll()
		}, versionkeeper.Origin{Pool: "p", Software: "v1"}},
		"the other pool has no servers, all nodes are lost": {func(fl *fleet) {
			configure(fl, route("/s/", "p", "empty"))
			began(fl, "p")
			fl.startAll()
		}, versionkeeper.Origin{Pool: "p", Software: "v1"}},
		"the route moved longer ago than streams are taken up": {func(fl *fleet) {
			configure(fl, route("/s/", "p"))
			configure(fl, route("/s/", "q"))
			fl.follow(2 * time.Minute)
			began(fl, "q")
			fl.start("n0")
		}, versionkeeper.Origin{Pool: "q", Software: "v2"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 4)
				for _, pr := range serverOf {
					fl.processes = append(fl.processes, pr)
				}
				fl.startAll()
				tc.before(fl)
				origin, ok := fl.nodes["n1"].keeper.Find(t.Context(), "s", fl.routes[0])
				require.Equal(t, tc.want != versionkeeper.Origin{}, ok)
				if ok {
					require.Equal(t, tc.want, origin)
				}
			})
		})
	}
}
