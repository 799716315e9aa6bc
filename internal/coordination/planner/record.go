package planner

import (
	"bytes"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// stepsPerUnit is the resolution of demand in a record, in steps per concurrent
// request.
const stepsPerUnit = 10

// ErrCorrupt is returned if a record of a plan cannot be decoded.
var ErrCorrupt = errors.New("record of the plan is corrupt")

// Record is a plan as stored in the store and sent between nodes.
type Record struct {
	epoch  int64
	number int64
	batch  string
	plan   *Plan
	state  State
}

// NewRecord returns the record of a plan. The epoch is the fencing number of
// the writer, the number counts plans, and the batch is unique to one write.
func NewRecord(epoch, number int64, batch string, pl *Plan, st State) *Record {
	return &Record{epoch: epoch, number: number, batch: batch, plan: pl, state: st}
}

// Epoch returns the fencing number of the plan's writer.
func (rc *Record) Epoch() int64 { return rc.epoch }

// Number returns the sequence number of the plan.
func (rc *Record) Number() int64 { return rc.number }

// Batch returns the unique ID of the write.
func (rc *Record) Batch() string { return rc.batch }

// Plan returns the plan.
func (rc *Record) Plan() *Plan { return rc.plan }

// State returns the state from which the next planner continues.
func (rc *Record) State() State { return rc.state }

// Newer reports whether the record is newer than the other one. Every record is
// newer than nil.
func (rc *Record) Newer(other *Record) bool {
	if other == nil || rc.epoch != other.epoch {
		return other == nil || rc.epoch > other.epoch
	}
	return rc.number > other.number
}

// Encode returns the record in msgpack. Servers refer to models by their index
// in the list of model names.
func (rc *Record) Encode() ([]byte, error) {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	en.UseCompactInts(true)
	names := rc.modelNames()
	err := errors.Join(
		messenger.EncodeAll(en, rc.epoch, rc.number, rc.batch),
		messenger.EncodeList(en, names, (*msgpack.Encoder).EncodeString),
		messenger.EncodeList(en, rc.plan.ServerNames(), func(en *msgpack.Encoder, server string) error {
			return rc.encodeServer(en, server, names)
		}),
		messenger.EncodeList(en, rc.state.MoveAges, func(en *msgpack.Encoder, age time.Duration) error {
			return en.EncodeInt(int64(age / time.Second))
		}),
		messenger.EncodeList(en, names, func(en *msgpack.Encoder, model string) error {
			return messenger.EncodeAll(en, steps(rc.state.Demand[model]), steps(rc.state.Mean[model]))
		}),
	)
	if err != nil {
		return nil, errors.Wrap(err, "encode plan")
	}
	return buf.Bytes(), nil
}

func steps(demand float64) int64 { return int64(math.Round(demand * stepsPerUnit)) }

// modelNames returns the names of all models in the record, sorted.
func (rc *Record) modelNames() []string {
	var names []string
	for model := range rc.plan.byModel {
		names = append(names, model)
	}
	for model := range rc.state.Demand {
		names = append(names, model)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (rc *Record) encodeServer(en *msgpack.Encoder, server string, names []string) error {
	if err := en.EncodeString(server); err != nil {
		return err
	}
	return messenger.EncodeList(en, rc.plan.Models(server), func(en *msgpack.Encoder, model string) error {
		ix, _ := slices.BinarySearch(names, model)
		return en.EncodeInt(int64(ix))
	})
}

// DecodeRecord decodes a record that Encode returned. The error is ErrCorrupt
// if the bytes are not a record.
func DecodeRecord(value []byte) (*Record, error) {
	de := msgpack.NewDecoder(bytes.NewReader(value))
	rc := &Record{state: State{Demand: Demand{}, Mean: Demand{}}}
	if err := rc.decode(de); err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "%v", err)
	}
	return rc, nil
}

func (rc *Record) decode(de *msgpack.Decoder) error {
	if err := messenger.DecodeAll(de, &rc.epoch, &rc.number, &rc.batch); err != nil {
		return err
	}
	names, err := messenger.DecodeList(de, (*msgpack.Decoder).DecodeString)
	if err != nil {
		return err
	}
	if err := rc.decodePlan(de, names); err != nil {
		return err
	}
	rc.state.MoveAges, err = messenger.DecodeList(de, func(de *msgpack.Decoder) (time.Duration, error) {
		seconds, err := de.DecodeInt64()
		return time.Duration(seconds) * time.Second, err
	})
	if err != nil {
		return err
	}
	return rc.decodeDemand(de, names)
}

func (rc *Record) decodePlan(de *msgpack.Decoder, names []string) error {
	byServer := map[string][]string{}
	_, err := messenger.DecodeList(de, func(de *msgpack.Decoder) (string, error) {
		server, err := de.DecodeString()
		if err != nil {
			return "", err
		}
		byServer[server], err = messenger.DecodeList(de, func(de *msgpack.Decoder) (string, error) {
			ix, err := de.DecodeInt()
			if err == nil && (ix < 0 || ix >= len(names)) {
				err = errors.Errorf("model index %d is out of range", ix)
			}
			if err != nil {
				return "", err
			}
			return names[ix], nil
		})
		return server, err
	})
	rc.plan = NewPlan(byServer)
	return err
}

func (rc *Record) decodeDemand(de *msgpack.Decoder, names []string) error {
	count, err := de.DecodeArrayLen()
	if err == nil && count != len(names) {
		err = errors.Errorf("%d demand entries for %d models", count, len(names))
	}
	if err != nil {
		return err
	}
	for _, model := range names {
		var demand, mean int64
		if err := messenger.DecodeAll(de, &demand, &mean); err != nil {
			return err
		}
		rc.state.Demand[model] = float64(demand) / stepsPerUnit
		rc.state.Mean[model] = float64(mean) / stepsPerUnit
	}
	return nil
}
