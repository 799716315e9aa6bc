package relayer

import (
	"context"
	"sync"

	"github.com/lagoonpass/lagoonpass/internal/coordination/prober"
	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// Configuration is the configuration in force on the node, whose number only grows. The
// store may return from a copy that lacks it, and a node that starts may find such a
// copy first; it takes the later one from other nodes.
type Configuration interface {
	// Number returns the number of the configuration in force, or 0.
	Number() int64
	// Newer returns the configuration in force if its number is at least the given
	// one, or nil. copied says that the node's copy of the store's keys has it as well.
	Newer(atLeast int64) (value []byte, copied bool)
	// Take puts a configuration in force if it is newer.
	Take(value []byte)
}

// noConfiguration is the default Configuration.
type noConfiguration struct{}

func (noConfiguration) Number() int64              { return 0 }
func (noConfiguration) Newer(int64) ([]byte, bool) { return nil, false }
func (noConfiguration) Take([]byte)                {}

// WithConfiguration sets the node's configuration.
func WithConfiguration(cf Configuration) Option {
	return func(rl *Relayer) { rl.configuration = cf }
}

// Asked reports whether other nodes were asked for a later configuration since the node
// started.
func (rl *Relayer) Asked() bool { return rl.asked.Load() }

// newPoll returns a poll with the positions of the copies and what the node lacks.
func (rl *Relayer) newPoll() *messenger.FeedPoll {
	call := &messenger.FeedPoll{Lacks: rl.configuration.Number() + 1}
	for _, fd := range rl.feeds {
		call.Positions = append(call.Positions, fd.messagePosition())
	}
	return call
}

// askConfiguration takes a later configuration from a few nodes.
func (rl *Relayer) askConfiguration(ctx context.Context) {
	rl.behind.Store(false)
	defer rl.asked.Store(true)
	sc := Choose(rl.view(), rl.leader())
	members := append(sc.Peers(), sc.Others()...)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, mb := range members[:min(len(members), maxAskedAtOnce)] {
		calls.Go(func() { rl.askConfigurationOf(ctx, mb) })
	}
	calls.Wait()
}

func (rl *Relayer) askConfigurationOf(ctx context.Context, mb prober.Member) {
	answer, _ := rl.caller.Call(ctx, mb.PeerAddress, rl.newPoll())
	if page, ok := answer.(*messenger.FeedPage); ok {
		rl.takeConfiguration(page)
	}
}

func (rl *Relayer) takeConfiguration(page *messenger.FeedPage) {
	if len(page.Configuration) > 0 {
		rl.configuration.Take(page.Configuration)
	}
}

// noteBehind records that the sender of a poll has a later configuration.
func (rl *Relayer) noteBehind(fp *messenger.FeedPoll) {
	if fp.Lacks > rl.configuration.Number()+1 {
		rl.behind.Store(true)
	}
}
