package orderer

import (
	"context"

	"github.com/go-faster/errors"
)

// LocalTokens limits the concurrent loads of one node, independently of other
// nodes.
type LocalTokens struct {
	limits map[string]chan struct{} // by name of the limit
}

// NewLocalTokens returns tokens for the given numbers of concurrent loads of
// models and of adapters.
func NewLocalTokens(weightLoads, adapterLoads int) *LocalTokens {
	return &LocalTokens{limits: map[string]chan struct{}{
		LimitWeightStore: make(chan struct{}, weightLoads),
		LimitAdapters:    make(chan struct{}, adapterLoads),
	}}
}

// Take implements Tokens.
func (lt *LocalTokens) Take(ctx context.Context, limit string) (func(), error) {
	if limit == LimitNone {
		return func() {}, nil
	}
	slots, ok := lt.limits[limit]
	if !ok {
		return nil, errors.Errorf("unknown limit %q", limit)
	}
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "wait for a token of limit %q", limit)
	}
}
