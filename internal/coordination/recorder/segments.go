package recorder

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// readsAtOnce bounds the segments that a new owner reads at once.
const readsAtOnce = 8

// readSegments returns the values of the segments.
func (sh *shard) readSegments(ctx context.Context, segments []segment) ([][]byte, error) {
	values := make([][]byte, len(segments))
	failures := make([]error, len(segments))
	slots := make(chan struct{}, readsAtOnce)
	var wg sync.WaitGroup
	for ix, sg := range segments {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			en, err := sh.recorder.store.Get(ctx, sh.segmentKey(sg.name))
			values[ix], failures[ix] = en.Value, err
		})
	}
	wg.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, errors.Wrap(err, "read record segment")
		}
	}
	return values, nil
}
