package accountant

import (
	"bytes"
	"slices"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Replicas is the record of one model: the backend servers whose replicas
// count. A server that no longer counts stays in the record with the fencing
// number of the owner that set it, so that an older owner cannot undo it.
type Replicas struct {
	batch   string
	members []member
}

type member struct {
	server string
	fence  int64
	counts bool // the server's replica counts
}

// Batch returns the id of the write that stored the record.
func (rp *Replicas) Batch() string { return rp.batch }

// SetBatch sets the id of the next write.
func (rp *Replicas) SetBatch(batch string) { rp.batch = batch }

// Servers returns the servers that count.
func (rp *Replicas) Servers() []string {
	var servers []string
	for _, mb := range rp.members {
		if mb.counts {
			servers = append(servers, mb.server)
		}
	}
	return servers
}

// Counts reports whether the server's replica counts.
func (rp *Replicas) Counts(server string) bool { return slices.Contains(rp.Servers(), server) }

// Fence returns the fencing number of the last Set for the server, or 0.
func (rp *Replicas) Fence(server string) int64 {
	for _, mb := range rp.members {
		if mb.server == server {
			return mb.fence
		}
	}
	return 0
}

// Set records whether the server counts. It returns false and changes nothing
// if a newer owner of the server has set it already.
func (rp *Replicas) Set(server string, fence int64, counts bool) bool {
	ix := slices.IndexFunc(rp.members, func(mb member) bool { return mb.server == server })
	if ix < 0 {
		rp.members = append(rp.members, member{server, fence, counts})
		return true
	}
	if rp.members[ix].fence > fence {
		return false
	}
	rp.members[ix] = member{server, fence, counts}
	return true
}

// Encode returns the record in its stored form.
func (rp *Replicas) Encode() ([]byte, error) {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	if err := en.EncodeMulti(recordVersion, rp.batch, len(rp.members)); err != nil {
		return nil, errors.Wrap(err, "encode replicas")
	}
	for _, mb := range rp.members {
		if err := en.EncodeMulti(mb.server, mb.fence, mb.counts); err != nil {
			return nil, errors.Wrap(err, "encode replica")
		}
	}
	return buf.Bytes(), nil
}

// DecodeReplicas returns the record stored in value, or an empty one if value
// is empty. Errors wrap ErrCorrupt.
func DecodeReplicas(value []byte) (*Replicas, error) {
	rp := &Replicas{}
	if len(value) == 0 {
		return rp, nil
	}
	de := msgpack.NewDecoder(bytes.NewReader(value))
	var version, count int
	if err := de.DecodeMulti(&version, &rp.batch, &count); err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "replicas: %v", err)
	}
	if !validHeader(version, count) {
		return nil, errors.Wrap(ErrCorrupt, "replicas: invalid header")
	}
	for range count {
		var mb member
		if err := de.DecodeMulti(&mb.server, &mb.fence, &mb.counts); err != nil {
			return nil, errors.Wrapf(ErrCorrupt, "replica: %v", err)
		}
		rp.members = append(rp.members, mb)
	}
	return rp, nil
}
