package jobrunner

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/pkg/refuser"
)

// State is the progress of a job.
type State uint8

// The states of a job.
const (
	// Accepted jobs are durable and wait to be run.
	Accepted State = iota + 1
	// Running jobs were claimed by a node.
	Running
	// Done jobs have a result.
	Done
	// Failed jobs ended with a refusal; its outcome says whether the request
	// may have been run.
	Failed
	// Cancelled jobs were cancelled by their caller.
	Cancelled
)

// String returns the state in kebab case.
func (st State) String() string {
	names := map[State]string{Accepted: "accepted", Running: "running", Done: "done", Failed: "failed", Cancelled: "cancelled"}
	return names[st]
}

// Ended reports whether the state is final.
func (st State) Ended() bool { return st >= Done }

// errCorrupt means that a stored value is not a valid job.
var errCorrupt = errors.New("value of a job is corrupt")

// Request is the request that a job runs.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the path of the completions API or of a plain service.
	Path string
	// ContentType is the media type of the body.
	ContentType string
	// Class is the priority class, or empty for the caller's default.
	Class string
	// Body is the body.
	Body []byte
}

// Result is the complete answer to a request.
type Result struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the media type of the body.
	ContentType string
	// Body is the body.
	Body []byte
}

// Job is one accepted request. It is immutable; changes make a copy.
type Job struct {
	acceptID string // random; unique to one call of Accept
	writeID  string // random; unique to one write of the job
	id       string
	caller   string
	key      string // the caller's idempotency key, or empty
	keyTime  int64  // time of the key, in Unix milliseconds; zero if there is none or the request may be repeated
	request  Request
	created  int64 // Unix milliseconds
	deadline int64 // Unix milliseconds; zero for none
	state    State
	claims   int    // claims under the run key
	executor string // incarnation of the runner that claimed the job, or empty
	runKey   string // key of the run in the at-most-once record, or empty
	ended    int64  // Unix milliseconds; zero until the end
	result   Result
	reason   refuser.Reason  // empty unless the job failed or was cancelled
	outcome  refuser.Outcome // set with reason
	message  string          // set with reason
	revision int64           // store revision; not part of the value
	claimed  time.Time       // when this node claimed the job; not part of the value
}

// ID returns the job's id.
func (jb *Job) ID() string { return jb.id }

// Caller returns the name of the caller.
func (jb *Job) Caller() string { return jb.caller }

// Key returns the caller's idempotency key, or the id if there was none.
func (jb *Job) Key() string {
	if jb.key != "" {
		return jb.key
	}
	return jb.id
}

// RunKey returns the key of the job's run in the at-most-once record, or empty
// before the first claim.
func (jb *Job) RunKey() string { return jb.runKey }

// Request returns the request.
func (jb *Job) Request() Request { return jb.request }

// State returns the progress of the job.
func (jb *Job) State() State { return jb.state }

// Claims returns how often the job was claimed under its run key.
func (jb *Job) Claims() int { return jb.claims }

// Created returns when the job was accepted.
func (jb *Job) Created() time.Time { return time.UnixMilli(jb.created) }

// Result returns the result of a job that is done.
func (jb *Job) Result() Result { return jb.result }

// Refusal returns why the job failed or was cancelled, or nil.
func (jb *Job) Refusal() *refuser.Refusal {
	if jb.reason == "" {
		return nil
	}
	return refuser.New(jb.reason, "%s", jb.message).WithOutcome(jb.outcome)
}

// hasRequest reports whether the job has the same method, path, class and body
// as rq.
func (jb *Job) hasRequest(rq Request) bool {
	own := jb.request
	return own.Method == rq.Method && own.Path == rq.Path && own.Class == rq.Class && bytes.Equal(own.Body, rq.Body)
}

// with returns a changed copy of the job.
func (jb *Job) with(change func(*Job)) *Job {
	cp := *jb
	change(&cp)
	return &cp
}

func (jb *Job) encode() ([]byte, error) {
	var buf bytes.Buffer
	rq, rs := jb.request, jb.result
	err := messenger.EncodeAll(msgpack.NewEncoder(&buf), jb.acceptID, jb.writeID, jb.id, jb.caller, jb.key, jb.keyTime,
		rq.Method, rq.Path, rq.ContentType, rq.Class, rq.Body, jb.created, jb.deadline, uint8(jb.state), jb.claims,
		jb.executor, jb.runKey, jb.ended, rs.Status, rs.ContentType, rs.Body, string(jb.reason), string(jb.outcome), jb.message)
	if err != nil {
		return nil, errors.Wrap(err, "encode job")
	}
	return buf.Bytes(), nil
}

func decode(value []byte) (*Job, error) {
	jb := &Job{}
	rq, rs := &jb.request, &jb.result
	var st uint8
	var reason, outcome string
	err := messenger.DecodeAll(msgpack.NewDecoder(bytes.NewReader(value)), &jb.acceptID, &jb.writeID, &jb.id, &jb.caller, &jb.key, &jb.keyTime,
		&rq.Method, &rq.Path, &rq.ContentType, &rq.Class, &rq.Body, &jb.created, &jb.deadline, &st, &jb.claims,
		&jb.executor, &jb.runKey, &jb.ended, &rs.Status, &rs.ContentType, &rs.Body, &reason, &outcome, &jb.message)
	if err != nil {
		return nil, errors.Wrapf(errCorrupt, "%v", err)
	}
	jb.state, jb.reason, jb.outcome = State(st), refuser.Reason(reason), refuser.Outcome(outcome)
	if jb.state < Accepted || jb.state > Cancelled {
		return nil, errors.Wrap(errCorrupt, "state")
	}
	return jb, nil
}

const (
	// shardCount is the number of shards; each has one owner.
	shardCount = 16
	// idLength is the length of an id that is derived from a key, in hex digits.
	idLength = 26
)

// idOf returns the job id of a caller's idempotency key.
func idOf(caller, key string) string {
	sum := sha256.Sum256([]byte(caller + "\n" + key))
	return hex.EncodeToString(sum[:])[:idLength]
}

// shardOf returns the shard of a job id.
func shardOf(id string) int {
	sum := sha256.Sum256([]byte(id))
	return int(sum[0]) % shardCount
}
