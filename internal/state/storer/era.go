package storer

import (
	"sync"

	"github.com/go-faster/errors"
)

var (
	// ErrFormerEra is the cause of an error if the answer is of an earlier era
	// than one that has already answered.
	ErrFormerEra = errors.New("answer is of an era of the store that has ended")
	// ErrEraChanged is the cause of an error if the store returned from an older
	// copy after the call's premises were read.
	ErrEraChanged = errors.New("store returned from an older copy since the call's premises were read")
)

// CallClass says what an answer of a call depends on.
type CallClass int

// The classes of calls.
const (
	// Lookup is a read that depends on nothing that was read before.
	Lookup CallClass = iota + 1
	// Continuation is a watch from a revision that was read before.
	Continuation
	// LeaseRenewal depends on a lease that was granted before.
	LeaseRenewal
	// ConditionalWrite depends on revisions or leases that were read before.
	ConditionalWrite
)

// Eras follows the era of a store, a number that rises whenever the store
// returns from a copy that lacks its last writes. Revisions and leases of one
// era mean nothing in another. The zero value knows no era, and is safe for
// concurrent use.
type Eras struct {
	mu      sync.Mutex
	current int64
}

// Era returns the highest era of an answer so far, or 0 if none had one.
func (es *Eras) Era() int64 {
	es.mu.Lock()
	defer es.mu.Unlock()
	return es.current
}

// NoteEra records an era that another node saw.
func (es *Eras) NoteEra(era int64) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.current = max(es.current, era)
}

// Judge returns the error of a call that began in one era and was answered in
// another, or err if that is no difference. An era of 0 means that the answer
// named none.
func (es *Eras) Judge(op, key string, class CallClass, begun, answered int64, err error) error {
	if answered == 0 {
		return err
	}
	es.mu.Lock()
	current := es.current
	es.current = max(current, answered)
	es.mu.Unlock()
	switch {
	case answered < current:
		kind := Unavailable
		if class == ConditionalWrite {
			kind = Uncertain
		}
		return &Error{Op: op, Key: key, Kind: kind, Cause: ErrFormerEra}
	case begun == 0 || answered == begun:
		return err
	}
	switch class {
	case Continuation:
		return &Error{Op: op, Key: key, Kind: TooOld, Cause: ErrEraChanged}
	case LeaseRenewal:
		return &Error{Op: op, Key: key, Kind: NotFound, Cause: ErrEraChanged}
	case ConditionalWrite:
		if err == nil || Is(err, Uncertain) {
			return &Error{Op: op, Key: key, Kind: Uncertain, Cause: ErrEraChanged}
		}
	case Lookup:
	}
	return err
}

// Admit returns an error of kind Conflict if the premises of a transaction are
// of another era than the present one.
func (es *Eras) Admit(tx Transaction) error {
	if tx.Era != 0 && tx.Era != es.Era() {
		return &Error{Op: "commit", Kind: Conflict, Cause: ErrEraChanged}
	}
	return nil
}
