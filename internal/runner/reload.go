package runner

import (
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
)

// reloadInterval is the minimum time between two checks of the files.
const reloadInterval = 10 * time.Second

// reloader holds a value that it loads from files, and loads again when one of
// them has changed.
type reloader[T any] struct {
	files []string
	load  func() (T, error)
	now   func() time.Time

	mu sync.Mutex
	// checked is when the files were last checked.
	checked time.Time
	// states has the state of each file when value was loaded.
	states []fileState
	value  T
}

// fileState is compared to detect that a file has changed.
type fileState struct {
	modified time.Time
	size     int64
}

// newReloader returns a reloader that has loaded its value, or the error of
// load.
func newReloader[T any](now func() time.Time, load func() (T, error), files ...string) (*reloader[T], error) {
	rl := &reloader[T]{files: files, load: load, now: now, checked: now()}
	rl.states = rl.stat()
	var err error
	rl.value, err = load()
	return rl, err
}

// get returns the latest value that was loaded without error. After an error it
// retries, because the two files of a key pair change one after the other.
func (rl *reloader[T]) get() T {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.now().Sub(rl.checked) < reloadInterval {
		return rl.value
	}
	rl.checked = rl.now()
	states := rl.stat()
	if sameStates(states, rl.states) {
		return rl.value
	}
	value, err := rl.load()
	if err != nil {
		log.WithError(err).Error("changed certificate files cannot be loaded; the previous certificates stay in use")
		return rl.value
	}
	rl.value, rl.states = value, states
	return rl.value
}

func (rl *reloader[T]) stat() []fileState {
	states := make([]fileState, len(rl.files))
	for ix, name := range rl.files {
		if fi, err := os.Stat(name); err == nil {
			states[ix] = fileState{fi.ModTime(), fi.Size()}
		}
	}
	return states
}

func sameStates(one, two []fileState) bool {
	for ix := range one {
		if !one[ix].modified.Equal(two[ix].modified) || one[ix].size != two[ix].size {
			return false
		}
	}
	return true
}

// readFile reads a file that the [tls] section names.
func readFile(name string) ([]byte, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate file")
	}
	return text, nil
}
