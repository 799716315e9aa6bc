package soaker

import (
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

// arrival is a request as an engine received it.
type arrival struct {
	engine *engine.Engine
	id     string
}

// booking is what the callers know of one booking.
type booking struct {
	service string
	body    string
	// notRun says that each attempt was answered as not run.
	notRun bool
	// done says that one attempt was answered with the result.
	done bool
}

// ledger holds what callers were told, to be compared with what happened.
type ledger struct {
	guard    sync.Mutex
	arrivals map[string][]arrival
	notRun   []string
	owners   map[string]string
	bookings []booking
	jobs     []string
	seen     int64
}

func newLedger() ledger {
	return ledger{arrivals: map[string][]arrival{}, owners: map[string]string{}}
}

func (lg *ledger) arrived(user string, av arrival) {
	lg.guard.Lock()
	defer lg.guard.Unlock()
	lg.arrivals[user] = append(lg.arrivals[user], av)
}

func (lg *ledger) toldNotRun(user string) {
	lg.guard.Lock()
	defer lg.guard.Unlock()
	lg.notRun = append(lg.notRun, user)
}

// owns notes that the answer with the id went to the user, and reports false
// if it went to another one before.
func (lg *ledger) owns(id, user string) bool {
	lg.guard.Lock()
	defer lg.guard.Unlock()
	if owner, ok := lg.owners[id]; ok && owner != user {
		return false
	}
	lg.owners[id] = user
	return true
}

func (lg *ledger) booked(bk booking) {
	lg.guard.Lock()
	defer lg.guard.Unlock()
	lg.bookings = append(lg.bookings, bk)
}

func (lg *ledger) jobAccepted(id string) {
	lg.guard.Lock()
	defer lg.guard.Unlock()
	lg.jobs = append(lg.jobs, id)
}

// runs returns how often engines started requests of the user.
func (lg *ledger) runs(user string) int {
	ids := map[arrival]bool{}
	total := 0
	for _, av := range lg.arrivals[user] {
		if !ids[av] {
			ids[av] = true
			total += av.engine.Runs(av.id)
		}
	}
	return total
}

// check compares what callers were told with what happened.
func (wd *world) check() {
	rp := wd.report
	wd.guard.Lock()
	defer wd.guard.Unlock()
	for _, user := range wd.notRun {
		rp.expect(checker.NotRunCorrect, wd.runs(user) == 0, "%s was told not-run and ran %d times", user, wd.runs(user))
	}
	for _, bk := range wd.bookings {
		runs := wd.services[bk.service].Runs(bk.body)
		rp.expect(checker.AtMostOnce, runs <= 1, "%s at %s ran %d times", bk.body, bk.service, runs)
		rp.expect(checker.NotRunCorrect, !bk.notRun || runs == 0, "%s at %s was told not-run and ran", bk.body, bk.service)
		rp.expect(checker.CompleteAnswer, !bk.done || runs > 0, "%s at %s was told done and did not run", bk.body, bk.service)
	}
	for name, sv := range wd.services {
		rp.expect(checker.AtMostOnce, sv.Duplicates() == 0, "%s ran %d bookings more than once", name, sv.Duplicates())
	}
	for _, be := range wd.engines {
		rp.expect(checker.MemoryWithinCapacity, be.engine.Overcommits() == 0, "%s was overcommitted %d times", be.host, be.engine.Overcommits())
	}
}

// operations holds what operators were told and how calm the network is.
type operations struct {
	calm     sync.Mutex
	latest   int64
	accepts  map[int64]bool
	open     int
	lastOpen time.Time
}

// accepted notes that an operator was told that this revision is in force.
func (op *operations) accepted(number int64) bool {
	op.calm.Lock()
	defer op.calm.Unlock()
	if op.accepts == nil {
		op.accepts = map[int64]bool{}
	}
	first := !op.accepts[number]
	op.accepts[number] = true
	op.latest = max(op.latest, number)
	return first
}

// newest returns the highest revision that an operator knows of.
func (op *operations) newest() int64 {
	op.calm.Lock()
	defer op.calm.Unlock()
	return op.latest
}

func (op *operations) learn(number int64) {
	op.calm.Lock()
	defer op.calm.Unlock()
	op.latest = max(op.latest, number)
}

// disturbed notes that a fault of the network begins or ends.
func (op *operations) disturbed(delta int) {
	op.calm.Lock()
	defer op.calm.Unlock()
	op.open += delta
	op.lastOpen = time.Now()
}

// wasDisturbed reports whether the network delayed anything since then.
func (op *operations) wasDisturbed(since time.Time) bool {
	op.calm.Lock()
	defer op.calm.Unlock()
	return op.open > 0 || op.lastOpen.After(since)
}
