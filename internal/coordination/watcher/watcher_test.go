package watcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/coordination/watcher"
	"github.com/lagoonpass/lagoonpass/internal/state/vmlister"
)

const settled = 20 * time.Second

func TestOnlyOwnerPollsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 18)
		defer fl.end()
		t.Logf("4 nodes know 18 servers after %v", fl.await(settled, fl.allKnown))
		// Before checksums are compared, a node may have missed an entry and poll
		// the server itself.
		time.Sleep(time.Minute)
		for name := range fl.servers {
			fl.change(name, func(be *backend) { clear(be.readers) })
		}
		time.Sleep(10 * time.Second)
		for name := range fl.servers {
			owner := fl.owner(name).ID
			fl.change(name, func(be *backend) {
				require.Len(t, be.readers, 1, name)
				require.InDelta(t, 10, be.readers[owner], 3, name)
			})
		}
	})
}

// TestLeavingServerGetsNoNewRequestsAfterThreeSeconds makes a server leave
// while four nodes send requests, without a store: by its own report alone, or
// by the platform's list.
func TestLeavingServerGetsNoNewRequestsAfterThreeSeconds(t *testing.T) {
	const bound = 3 * time.Second
	for name, leave := range map[string]func(*fleet, string){
		"by its report":         func(fl *fleet, sv string) { fl.change(sv, func(be *backend) { be.report.Leaving = true }) },
		"by the platforms list": func(fl *fleet, sv string) { fl.listAsLeaving(sv) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(t, 4, 3)
				defer fl.end()
				fl.await(settled, fl.allKnown)
				for _, nd := range fl.nodes {
					fl.work(nd, 20*time.Millisecond)
				}
				var longest time.Duration
				for _, server := range []string{"w0000", "w0001"} {
					time.Sleep(5 * time.Second)
					began := time.Now()
					leave(fl, server)
					time.Sleep(20 * time.Second)
					fl.change(server, func(be *backend) {
						require.Positive(t, be.works)
						longest = max(longest, be.lastWork.Sub(began))
					})
				}
				t.Logf("last new request %v after the change", longest)
				require.Less(t, longest, bound)
				fl.change("w0002", func(be *backend) { require.Less(t, time.Since(be.lastWork), time.Second) })
			})
		})
	}
}

// TestNewOwnersEntriesOutrankThoseOfDeadOwner makes the first owner publish
// many versions. They would outrank those of a new owner that began at one.
func TestNewOwnersEntriesOutrankThoseOfDeadOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 8)
		defer fl.end()
		fl.await(settled, fl.allKnown)
		boot := func(id string) func() bool {
			return fl.allSee("w0000", func(rp watcher.Report) bool { return rp.BootID == id })
		}
		for _, id := range []string{"b2", "b3", "b4", "b5"} {
			fl.change("w0000", func(be *backend) { be.report.BootID = id })
			t.Logf("a change is known to all after %v", fl.await(5*time.Second, boot(id)))
		}
		fl.kill(fl.owner("w0000"))
		require.True(t, boot("b5")(), "knowledge stays when its owner dies")
		fl.change("w0000", func(be *backend) { be.report.BootID = "b6" })
		t.Logf("a change at its death is known to all after %v", fl.await(10*time.Second, boot("b6")))
	})
}

// TestLeavingIsKnownWithinThreeSecondsWithoutOwner makes the owner unreachable
// when a server begins to leave, before any node considers the owner dead. The
// nodes that use the server must poll it themselves and send it no new requests
// after 3 s.
func TestLeavingIsKnownWithinThreeSecondsWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 2, 4)
		defer fl.end()
		fl.await(settled, fl.allKnown)
		owner, user := fl.ownerAndUser("w0000")
		fl.Cut(user.Address, owner.Address)
		fl.Cut(owner.Address, user.Address)
		fl.change("w0000", func(be *backend) { be.report.Leaving = true })
		t.Logf("known after %v", fl.await(3*time.Second, func() bool {
			rp, ok := user.watch.Snapshot().Report("w0000")
			return !ok || rp.Leaving
		}))
	})
}

func TestServerStaysReadyAfterTwoFailedPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 4)
		defer fl.end()
		fl.await(settled, fl.allKnown)
		down := func(down bool) {
			fl.change("w0000", func(be *backend) { be.down = down; clear(be.readers) })
		}
		polls := func(count int) func() bool {
			return func() (reached bool) {
				fl.change("w0000", func(be *backend) {
					for _, reads := range be.readers {
						reached = reached || reads >= count
					}
				})
				return reached
			}
		}
		down(true)
		fl.await(settled, polls(2))
		require.True(t, fl.allKnown(), "two lost reports change nothing")
		down(false)
		fl.await(settled, polls(2))
		down(true)
		gone := func() bool {
			for _, nd := range fl.nodes {
				if len(nd.watch.Snapshot().Replicas("m")) != 3 {
					return false
				}
			}
			return true
		}
		t.Logf("a silent server is not ready anywhere after %v", fl.await(5*time.Second, gone))
	})
}

// TestUserPollsServerWhenOwnerIsUnreachable makes the owner of a server in use
// unreachable for one node, while the other nodes still reach it.
func TestUserPollsServerWhenOwnerIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 8)
		defer fl.end()
		fl.await(settled, fl.allKnown)
		owner, user := fl.ownerAndUser("w0000")
		fl.Cut(user.Address, owner.Address)
		direct := func() bool {
			reads := 0
			fl.change("w0000", func(be *backend) { reads = be.readers[user.ID] })
			return reads > 0
		}
		t.Logf("polled directly after %v", fl.await(12*time.Second, direct))
		rp, _ := user.watch.Snapshot().Report("w0000")
		fl.await(2*time.Second, func() bool {
			rp, _ = user.watch.Snapshot().Report("w0000")
			return !rp.WithoutLoad
		})
		require.False(t, rp.FromOwner)
	})
}

// TestNewNodeLearnsAllServersWithin35Seconds logs how long a new node takes to
// learn all servers, for the numbers of servers of fleets with 4 and 64 nodes.
func TestNewNodeLearnsAllServersWithin35Seconds(t *testing.T) {
	for _, servers := range []int{18, 260} {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(t, 4, servers)
			defer fl.end()
			t.Logf("%d servers: known to 4 nodes that start at once after %v", servers, fl.await(2*time.Minute, fl.allKnown))
			time.Sleep(30 * time.Second)
			fresh := fl.add()
			some := func() bool { return len(fresh.watch.Snapshot().Replicas("m")) > 0 }
			t.Logf("%d servers: a fresh node knows the first after %v", servers, fl.await(5*time.Second, some))
			t.Logf("%d servers: and the rest %v later", servers, fl.await(30*time.Second, func() bool { return fl.known(fresh) }))
		})
	}
}

// TestServerGetsRequestsAgainWhenListClearsLeaving makes the list name a server
// as leaving and then as live again, as when an operator changes a decision.
// The process is the same, and all nodes must send it requests again.
func TestServerGetsRequestsAgainWhenListClearsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, 4, 3)
		defer fl.end()
		fl.await(settled, fl.allKnown)
		leaving := func(want bool) func() bool {
			return fl.allSee("w0000", func(rp watcher.Report) bool { return rp.Leaving == want })
		}
		fl.listAsLeaving("w0000")
		fl.await(time.Minute, leaving(true))
		time.Sleep(time.Minute)
		require.True(t, leaving(true)(), "it leaves for as long as the list says so")
		fl.EditVMs(func(vms []vmlister.VM) []vmlister.VM { return vms[:len(vms)-1] })
		fl.await(5*time.Minute, leaving(false))
	})
}
