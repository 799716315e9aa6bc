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

// State is how far a job has come.
type State uint8

// The states of a job.
const (
	// Accepted jobs are durable and wait for room.
	Accepted State = iota + 1
	// Running jobs were claimed by a node.
	Running
	// Done jobs have a result.
	Done
	// Failed jobs ended with a refusal, whose outcome says whether they may
	// have been run.
	Failed
	// Cancelled jobs were cancelled by their caller.
	Cancelled
)

// String returns the state in kebab case.
func (st State) String() string {
	names := map[State]string{Accepted: "accepted", Running: "running", Done: "done", Failed: "failed", Cancelled: "cancelled"}
	return names[st]
}

// Ended reports whether the job changes no more.
func (st State) Ended() bool { return st >= Done }

// errCorrupt means that a value is not a job.
var errCorrupt = errors.New("value of a job is corrupt")

// Request is what a caller wants to have run.
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

// Result is the whole answer to a request.
type Result struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the media type of the body.
	ContentType string
	// Body is the body.
	Body []byte
}

// Job is one accepted request. It is never changed; changes make a copy.
type Job struct {
	token    string
	batch    string
	id       string
	caller   string
	key      string
	keyTime  int64
	request  Request
	created  int64
	deadline int64
	state    State
	attempts int
	executor string
	runKey   string
	ended    int64
	result   Result
	reason   refuser.Reason
	outcome  refuser.Outcome
	message  string
	revision int64
	claimed  time.Time
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

// RunKey returns the key under which the record knows the job's run.
func (jb *Job) RunKey() string { return jb.runKey }

// Request returns what is to be run.
func (jb *Job) Request() Request { return jb.request }

// State returns how far the job has come.
func (jb *Job) State() State { return jb.state }

// Attempts returns how often the job was claimed.
func (jb *Job) Attempts() int { return jb.attempts }

// Created returns when the job was accepted.
func (jb *Job) Created() time.Time { return time.UnixMilli(jb.created) }

// Result returns the result of a job that is done.
func (jb *Job) Result() Result { return jb.result }

// Refusal returns why the job ended without a result, or nil.
func (jb *Job) Refusal() *refuser.Refusal {
	if jb.reason == "" {
		return nil
	}
	return refuser.New(jb.reason, "%s", jb.message).WithOutcome(jb.outcome)
}

// matches reports whether a repeated acceptance asks for the same.
func (jb *Job) matches(rq Request) bool {
	same := jb.request
	return same.Method == rq.Method && same.Path == rq.Path && same.Class == rq.Class && bytes.Equal(same.Body, rq.Body)
}

func (jb *Job) with(change func(*Job)) *Job {
	cp := *jb
	change(&cp)
	return &cp
}

func (jb *Job) encode() ([]byte, error) {
	var buf bytes.Buffer
	rq, rs := jb.request, jb.result
	err := messenger.EncodeAll(msgpack.NewEncoder(&buf), jb.token, jb.batch, jb.id, jb.caller, jb.key, jb.keyTime,
		rq.Method, rq.Path, rq.ContentType, rq.Class, rq.Body, jb.created, jb.deadline, uint8(jb.state), jb.attempts,
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
	err := messenger.DecodeAll(msgpack.NewDecoder(bytes.NewReader(value)), &jb.token, &jb.batch, &jb.id, &jb.caller, &jb.key, &jb.keyTime,
		&rq.Method, &rq.Path, &rq.ContentType, &rq.Class, &rq.Body, &jb.created, &jb.deadline, &st, &jb.attempts,
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
	// shardCount is the number of parts that jobs are split into.
	shardCount = 16
	// idLength is the length of an id made from a key.
	idLength = 26
)

// idOf returns the id of a caller's key.
func idOf(caller, key string) string {
	sum := sha256.Sum256([]byte(caller + "\n" + key))
	return hex.EncodeToString(sum[:])[:idLength]
}

// shardOf returns the shard of an id.
func shardOf(id string) int {
	sum := sha256.Sum256([]byte(id))
	return int(sum[0]) % shardCount
}
