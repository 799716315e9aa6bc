package messenger

import "github.com/vmihailenco/msgpack/v5"

// BeginStatus is the answer of a shard's owner to a Begin.
type BeginStatus uint8

// The answers to a Begin.
const (
	// BeginGranted gives this attempt the exclusive right to send.
	BeginGranted BeginStatus = iota + 1
	// BeginStarted means that another attempt holds the right to send.
	BeginStarted
	// BeginFinished carries the result of the key.
	BeginFinished
	// BeginResultGone means that the key's request was run and its result was
	// not kept.
	BeginResultGone
	// BeginConflict means that the key belongs to another request.
	BeginConflict
	// BeginExpired means that the key is not newer than the watermark.
	BeginExpired
	// BeginAhead means that the key's time is too far in the future.
	BeginAhead
	// BeginFull means that the shard has no room for a new key.
	BeginFull
	// BeginAbandoned means that the attempt was abandoned earlier.
	BeginAbandoned
	// BeginNotOwner means that the node does not own the shard.
	BeginNotOwner
	// BeginStoreDown means that the store was unreachable and nothing changed.
	BeginStoreDown
	// BeginUncertain means that the attempt may have been recorded.
	BeginUncertain
	// BeginLost means that the key's request was sent and its outcome is
	// unknown.
	BeginLost
)

// RecordResult is a backend server's answer as kept in a record.
type RecordResult struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the media type of the body.
	ContentType string
	// Body is the whole body.
	Body []byte
}

func (rr *RecordResult) encode(en *msgpack.Encoder) error {
	return EncodeAll(en, rr.Status, rr.ContentType, rr.Body)
}

func (rr *RecordResult) decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &rr.Status, &rr.ContentType, &rr.Body)
}

// Begin asks the owner of a shard for the right to run the request of a key.
type Begin struct {
	// Shard is the number of the shard.
	Shard int
	// Key is the hash of the caller's name and its key.
	Key []byte
	// Time is the time that the caller gave the key, in milliseconds since the
	// Unix epoch.
	Time int64
	// Request is the hash of the request.
	Request []byte
	// Executor is the node that wants to run the request.
	Executor string
	// Attempt is the unique id of this attempt of the executor.
	Attempt string
}

// Kind implements Message.
func (*Begin) Kind() Kind { return KindBegin }

// Encode implements Message.
func (bg *Begin) Encode(en *msgpack.Encoder) error {
	return EncodeAll(en, bg.Shard, bg.Key, bg.Time, bg.Request, bg.Executor, bg.Attempt)
}

// Decode implements Message.
func (bg *Begin) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &bg.Shard, &bg.Key, &bg.Time, &bg.Request, &bg.Executor, &bg.Attempt)
}

// Begun answers a Begin.
type Begun struct {
	// Status is the answer.
	Status BeginStatus
	// Executor is the node that holds the right to send. It is set only with
	// BeginStarted.
	Executor string
	// Attempt is the attempt that holds the right to send. It is set only with
	// BeginStarted.
	Attempt string
	// Result is the recorded result of a finished key.
	Result RecordResult
}

// Kind implements Message.
func (*Begun) Kind() Kind { return KindBegun }

// Encode implements Message.
func (bg *Begun) Encode(en *msgpack.Encoder) error {
	if err := EncodeAll(en, uint8(bg.Status), bg.Executor, bg.Attempt); err != nil {
		return err
	}
	return bg.Result.encode(en)
}

// Decode implements Message.
func (bg *Begun) Decode(de *msgpack.Decoder) error {
	var status uint8
	if err := DecodeAll(de, &status, &bg.Executor, &bg.Attempt); err != nil {
		return err
	}
	bg.Status = BeginStatus(status)
	return bg.Result.decode(de)
}

// Finish tells the owner of a shard how an attempt ended.
type Finish struct {
	Begin
	// Abandoned says that the attempt sent nothing and never will.
	Abandoned bool
	// Lost says that the attempt ended and it is unknown whether its request
	// was run.
	Lost bool
	// Kept says that Result is set.
	Kept bool
	// Result is the result, if Kept.
	Result RecordResult
}

// Kind implements Message.
func (*Finish) Kind() Kind { return KindFinish }

// Encode implements Message.
func (fn *Finish) Encode(en *msgpack.Encoder) error {
	if err := fn.Begin.Encode(en); err != nil {
		return err
	}
	if err := EncodeAll(en, fn.Abandoned, fn.Lost, fn.Kept); err != nil {
		return err
	}
	return fn.Result.encode(en)
}

// Decode implements Message.
func (fn *Finish) Decode(de *msgpack.Decoder) error {
	if err := fn.Begin.Decode(de); err != nil {
		return err
	}
	if err := DecodeAll(de, &fn.Abandoned, &fn.Lost, &fn.Kept); err != nil {
		return err
	}
	return fn.Result.decode(de)
}

// Finished answers a Finish.
type Finished struct {
	// Recorded says that the end is stored and needs no further Finish.
	Recorded bool
}

// Kind implements Message.
func (*Finished) Kind() Kind { return KindFinished }

// Encode implements Message.
func (fn *Finished) Encode(en *msgpack.Encoder) error { return EncodeAll(en, fn.Recorded) }

// Decode implements Message.
func (fn *Finished) Decode(de *msgpack.Decoder) error { return DecodeAll(de, &fn.Recorded) }

// JobNotice notifies a node of a job. The answer is a JobNotice, too.
type JobNotice struct {
	// Shard is the number of the job's shard.
	Shard int
	// ID is the job's id.
	ID string
	// Cancel asks the node to stop the job if it runs it.
	Cancel bool
	// Running says, in the answer, that the node is running the job.
	Running bool
}

// Kind implements Message.
func (*JobNotice) Kind() Kind { return KindJobNotice }

// Encode implements Message.
func (jn *JobNotice) Encode(en *msgpack.Encoder) error {
	return EncodeAll(en, jn.Shard, jn.ID, jn.Cancel, jn.Running)
}

// Decode implements Message.
func (jn *JobNotice) Decode(de *msgpack.Decoder) error {
	return DecodeAll(de, &jn.Shard, &jn.ID, &jn.Cancel, &jn.Running)
}

func init() {
	builders[KindBegin] = func() Message { return &Begin{} }
	builders[KindBegun] = func() Message { return &Begun{} }
	builders[KindFinish] = func() Message { return &Finish{} }
	builders[KindFinished] = func() Message { return &Finished{} }
	builders[KindJobNotice] = func() Message { return &JobNotice{} }
}
