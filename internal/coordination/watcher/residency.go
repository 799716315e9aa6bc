package watcher

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
)

// The keys of gossiped entries, and when a leaving mark is cleared.
const (
	// residencyPrefix and a server's name are the key of the server's
	// residency.
	residencyPrefix = "server/"
	// leavingPrefix and a server's name are the key of the boot that is
	// leaving. These entries are short, so that they are sent more often.
	leavingPrefix = "leaving/"
	// clearLeavingReads is how many reads of the list in a row must not name a
	// server as leaving before its mark is cleared.
	clearLeavingReads = 4
)

const (
	// nameBytes is the length of the hash that replaces a name.
	nameBytes = 6
	// maxNames bounds the sum of models and adapters in an entry.
	maxNames = 64
	// maxBootIDBytes is the length of the longest boot id that is not hashed.
	maxBootIDBytes = 12
)

// nameHash is the hash of the name of a model or an adapter.
type nameHash [nameBytes]byte

func hashName(name string) nameHash {
	var whole [8]byte
	binary.BigEndian.PutUint64(whole[:], xxhash.Sum64String(name))
	return nameHash(whole[:nameBytes])
}

// shortBoot returns a boot id, or its hash if it is long. All nodes must use
// the same form.
func shortBoot(id string) string {
	if len(id) <= maxBootIDBytes {
		return id
	}
	return strconv.FormatUint(xxhash.Sum64String(id), 36)
}

// residency is the gossiped part of a report.
type residency struct {
	bootID string
	// ready says that the server answers polls.
	ready   bool
	leaving bool
	// loading says that the server is loading a model or an adapter.
	loading  bool
	models   []nameHash
	adapters []nameHash
}

// residencyOf returns the residency of a report, and whether all names fit in
// it.
func residencyOf(rp Report) (rs residency, complete bool) {
	rs = residency{
		bootID:   rp.BootID,
		ready:    true,
		leaving:  rp.Leaving,
		loading:  len(rp.Loading) > 0,
		models:   hashNames(slices.Collect(maps.Keys(rp.Models))),
		adapters: hashNames(rp.Adapters),
	}
	complete = len(rs.models)+len(rs.adapters) <= maxNames
	rs.models = rs.models[:min(len(rs.models), maxNames)]
	rs.adapters = rs.adapters[:min(len(rs.adapters), maxNames-len(rs.models))]
	return rs, complete
}

func hashNames(names []string) []nameHash {
	hashes := make([]nameHash, 0, len(names))
	for _, name := range slices.Sorted(slices.Values(names)) {
		hashes = append(hashes, hashName(name))
	}
	return hashes
}

// differsOnlyInAdapters reports whether two residencies are equal apart from
// their adapters.
func (rs residency) differsOnlyInAdapters(other residency) bool {
	rs.adapters = other.adapters
	return bytes.Equal(rs.encode(), other.encode())
}

// report returns the residency as a report without load. Names that the
// settings do not contain are left out.
func (rs residency) report(server, address string, names map[nameHash]string) Report {
	rp := Report{
		Server:      server,
		Address:     address,
		BootID:      rs.bootID,
		Models:      make(map[string]string, len(rs.models)),
		Leaving:     rs.leaving,
		WithoutLoad: true,
	}
	for _, nh := range rs.models {
		if name, ok := names[nh]; ok {
			rp.Models[name] = ""
		}
	}
	for _, nh := range rs.adapters {
		if name, ok := names[nh]; ok {
			rp.Adapters = append(rp.Adapters, name)
		}
	}
	if rs.loading {
		rp.Loading = []string{""}
	}
	return rp
}

func (rs residency) encode() []byte {
	var buf bytes.Buffer
	en := msgpack.NewEncoder(&buf)
	en.UseCompactInts(true)
	err := messenger.EncodeAll(en, rs.bootID, rs.ready, rs.leaving, rs.loading, pack(rs.models), pack(rs.adapters))
	if err != nil {
		return nil
	}
	return buf.Bytes()
}

func decodeResidency(payload []byte) (residency, error) {
	var rs residency
	var models, adapters []byte
	de := msgpack.NewDecoder(bytes.NewReader(payload))
	err := messenger.DecodeAll(de, &rs.bootID, &rs.ready, &rs.leaving, &rs.loading, &models, &adapters)
	if err != nil {
		return residency{}, errors.Wrap(err, "decode residency")
	}
	rs.models, rs.adapters = unpack(models), unpack(adapters)
	return rs, nil
}

func pack(hashes []nameHash) []byte {
	packed := make([]byte, 0, nameBytes*len(hashes))
	for _, nh := range hashes {
		packed = append(packed, nh[:]...)
	}
	return packed
}

func unpack(packed []byte) []nameHash {
	hashes := make([]nameHash, 0, len(packed)/nameBytes)
	for part := range slices.Chunk(packed, nameBytes) {
		if len(part) == nameBytes {
			hashes = append(hashes, nameHash(part))
		}
	}
	return hashes
}
