package recorder

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
)

// maxConcurrentReads bounds the concurrent reads of a new owner.
const maxConcurrentReads = 8

// readSegments returns the values of the segments, in their order.
func (sh *shard) readSegments(ctx context.Context, segments []segment) ([][]byte, error) {
	values := make([][]byte, len(segments))
	failures := make([]error, len(segments))
	slots := make(chan struct{}, maxConcurrentReads)
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
