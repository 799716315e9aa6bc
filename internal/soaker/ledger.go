package soaker

import (
	"sync"
	"time"

	"github.com/lagoonpass/lagoonpass/internal/checker"
	"github.com/lagoonpass/lagoonpass/internal/standin/engine"
)

// arrival is a request that an engine received.
type arrival struct {
	engine *engine.Engine
	id     string
}

// booking is the outcome of one booking as its caller saw it.
type booking struct {
	service string
	body    string
	// notRun is true if the only attempt was refused as not run.
	notRun bool
	// done is true if an attempt was answered with the result.
	done bool
}

// observations records the answers to callers, for a comparison with what the
// backend servers ran.
type observations struct {
	observationsMu sync.Mutex
	arrivals       map[string][]arrival // at engines, by user
	notRun         []string             // users whose request was refused as not run
	owners         map[string]string    // users by id of their answer
	bookings       []booking
	jobs           []string // ids of accepted jobs
	seenByCallers  int64    // highest revision in an answer to a caller
	// fatal has the times at which the request that crashes engines reached one.
	fatal []time.Time
}

func newObservations() observations {
	return observations{arrivals: map[string][]arrival{}, owners: map[string]string{}}
}

func (ob *observations) recordArrival(user string, av arrival) {
	ob.observationsMu.Lock()
	defer ob.observationsMu.Unlock()
	ob.arrivals[user] = append(ob.arrivals[user], av)
}

func (ob *observations) recordFatal() {
	ob.observationsMu.Lock()
	defer ob.observationsMu.Unlock()
	ob.fatal = append(ob.fatal, time.Now())
}

func (ob *observations) recordNotRun(user string) {
	ob.observationsMu.Lock()
	defer ob.observationsMu.Unlock()
	ob.notRun = append(ob.notRun, user)
}

// recordOwner records that the answer with the id went to the user. It returns
// false if the id already belongs to another user.
func (ob *observations) recordOwner(id, user string) bool {
	ob.observationsMu.Lock()
	defer ob.observationsMu.Unlock()
	if owner, ok := ob.owners[id]; ok && owner != user {
		return false
	}
	ob.owners[id] = user
	return true
}

func (ob *observations) recordBooking(bk booking) {
	ob.observationsMu.Lock()
	defer ob.observationsMu.Unlock()
	ob.bookings = append(ob.bookings, bk)
}

func (ob *observations) recordJob(id string) {
	ob.observationsMu.Lock()
	defer ob.observationsMu.Unlock()
	ob.jobs = append(ob.jobs, id)
}

// runs returns how often engines started requests of the user. The caller holds
// the lock.
func (ob *observations) runs(user string) int {
	ids := map[arrival]bool{}
	total := 0
	for _, av := range ob.arrivals[user] {
		if !ids[av] {
			ids[av] = true
			total += av.engine.Runs(av.id)
		}
	}
	return total
}

// checkObservations compares the answers to callers with what the backend
// servers ran.
func (cl *cluster) checkObservations() {
	cl.checkFatal()
	rp := cl.report
	cl.observationsMu.Lock()
	defer cl.observationsMu.Unlock()
	for _, user := range cl.notRun {
		rp.expect(checker.NotRunCorrect, cl.runs(user) == 0, "%s was told not-run and ran %d times", user, cl.runs(user))
	}
	for _, bk := range cl.bookings {
		runs := cl.services[bk.service].Runs(bk.body)
		rp.expect(checker.AtMostOnce, runs <= 1, "%s at %s ran %d times", bk.body, bk.service, runs)
		rp.expect(checker.NotRunCorrect, !bk.notRun || runs == 0, "%s at %s was told not-run and ran", bk.body, bk.service)
		rp.expect(checker.CompleteAnswer, !bk.done || runs > 0, "%s at %s was told done and did not run", bk.body, bk.service)
	}
	for name, sv := range cl.services {
		rp.expect(checker.AtMostOnce, sv.Duplicates() == 0, "%s ran %d bookings more than once", name, sv.Duplicates())
	}
	for _, be := range cl.engines {
		rp.expect(checker.MemoryWithinCapacity, be.engine.Overcommits() == 0, "%s was overcommitted %d times", be.host, be.engine.Overcommits())
	}
}

// The bounds on a request that crashes engines: later than fatalWindow after the
// crash with the number fatalCrashes, at most fatalAllowance of its repeats reach
// engines.
const (
	fatalUser      = "fatal-user"
	fatalCrashes   = 3
	fatalWindow    = 3 * time.Second
	fatalAllowance = 3
)

// checkFatal reports too many repeats of the request that crashes engines.
func (cl *cluster) checkFatal() {
	cl.observationsMu.Lock()
	defer cl.observationsMu.Unlock()
	late := 0
	for _, at := range cl.fatal {
		if len(cl.fatal) >= fatalCrashes && at.Sub(cl.fatal[fatalCrashes-1]) > fatalWindow {
			late++
		}
	}
	cl.report.expect(FatalContained, late <= fatalAllowance, "%d repeats of a request that crashed %d engines reached them later", late, len(cl.fatal))
}

// operations records the revisions that operators were told and the faults of
// the network.
type operations struct {
	operationsMu      sync.Mutex
	highestRevision   int64          // highest revision that an operator was told
	acceptedRevisions map[int64]bool // revisions of accepted changes
	networkFaults     int            // number of current network faults
	lastNetworkFault  time.Time      // latest start or end of a network fault
}

// recordAccepted records that an operator's change became this revision. It
// returns false if another change became the same revision.
func (op *operations) recordAccepted(number int64) bool {
	op.operationsMu.Lock()
	defer op.operationsMu.Unlock()
	if op.acceptedRevisions == nil {
		op.acceptedRevisions = map[int64]bool{}
	}
	first := !op.acceptedRevisions[number]
	op.acceptedRevisions[number] = true
	op.highestRevision = max(op.highestRevision, number)
	return first
}

// latestRevision returns the highest revision that an operator was told.
func (op *operations) latestRevision() int64 {
	op.operationsMu.Lock()
	defer op.operationsMu.Unlock()
	return op.highestRevision
}

// recordRevision records a revision that an operator was told.
func (op *operations) recordRevision(number int64) {
	op.operationsMu.Lock()
	defer op.operationsMu.Unlock()
	op.highestRevision = max(op.highestRevision, number)
}

// addNetworkFaults adds delta to the number of current network faults.
func (op *operations) addNetworkFaults(delta int) {
	op.operationsMu.Lock()
	defer op.operationsMu.Unlock()
	op.networkFaults += delta
	op.lastNetworkFault = time.Now()
}

// networkFaultSince reports whether a network fault was active after since.
func (op *operations) networkFaultSince(since time.Time) bool {
	op.operationsMu.Lock()
	defer op.operationsMu.Unlock()
	return op.networkFaults > 0 || op.lastNetworkFault.After(since)
}
