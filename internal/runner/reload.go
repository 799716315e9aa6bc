package runner

import (
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
)

// reloadInterval is the least time between two looks at the files.
const reloadInterval = 10 * time.Second

// reloaded is a value that is read from files, and read again when one of them
// has changed.
type reloaded[T any] struct {
	files []string
	load  func() (T, error)
	now   func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamps  []stamp
	value   T
}

// stamp tells one state of a file from another.
type stamp struct {
	changed time.Time
	size    int64
}

// newReloaded loads the value for the first time.
func newReloaded[T any](now func() time.Time, load func() (T, error), files ...string) (*reloaded[T], error) {
	rl := &reloaded[T]{files: files, load: load, now: now, checked: now()}
	rl.stamps = rl.look()
	var err error
	rl.value, err = load()
	return rl, err
}

// get returns the latest value that could be loaded. A value that cannot be
// loaded is tried again, since the files of a pair change one after the other.
func (rl *reloaded[T]) get() T {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.now().Sub(rl.checked) < reloadInterval {
		return rl.value
	}
	rl.checked = rl.now()
	stamps := rl.look()
	if same(stamps, rl.stamps) {
		return rl.value
	}
	value, err := rl.load()
	if err != nil {
		log.WithError(err).Error("certificates changed and cannot be read; the former ones stay in use")
		return rl.value
	}
	rl.value, rl.stamps = value, stamps
	return rl.value
}

func (rl *reloaded[T]) look() []stamp {
	stamps := make([]stamp, len(rl.files))
	for ix, name := range rl.files {
		if fi, err := os.Stat(name); err == nil {
			stamps[ix] = stamp{fi.ModTime(), fi.Size()}
		}
	}
	return stamps
}

func same(one, two []stamp) bool {
	for ix := range one {
		if !one[ix].changed.Equal(two[ix].changed) || one[ix].size != two[ix].size {
			return false
		}
	}
	return true
}

// readFile reads a file of the [tls] section.
func readFile(name string) ([]byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate file")
	}
	return text, nil
}
