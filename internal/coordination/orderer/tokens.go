package orderer

import (
	"context"

	"github.com/go-faster/errors"
)

// LocalTokens limits what one node does at once, without regard to others.
type LocalTokens struct {
	limits map[string]chan struct{}
}

// NewLocalTokens returns tokens for that many loads of models and of adapters
// at once.
func NewLocalTokens(weightLoads, adapterLoads int) *LocalTokens {
	return &LocalTokens{limits: map[string]chan struct{}{
		LimitWeightStore: make(chan struct{}, weightLoads),
		LimitAdapters:    make(chan struct{}, adapterLoads),
	}}
}

// Take implements Tokens.
func (lt *LocalTokens) Take(ctx context.Context, limit string) (func(), error) {
	held, ok := lt.limits[limit]
	if !ok {
		return nil, errors.Errorf("no limit %q", limit)
	}
	select {
	case held <- struct{}{}:
		return func() { <-held }, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "wait for a token of %q", limit)
	}
}
