package versionkeeper

import "time"

// maxRecords bounds the streams of one generation of records.
const maxRecords = 100_000

// record says where a stream began.
type record struct {
	// pool and software are the pool of the server and the version of its software.
	// software is empty if it is uncertain.
	pool, software string
	// server is the server's id, or empty if another node served the stream.
	server string
	at     time.Time
}

// records remembers streams by the hashes of their requests, for one to two times
// streamMemory.
type records struct {
	recent, former map[uint64]record
	rotatedAt      time.Time
}

func newRecords() *records { return &records{recent: map[uint64]record{}} }

// get returns the record of a stream.
func (rs *records) get(id uint64) (record, bool) {
	rc, ok := rs.recent[id]
	if !ok {
		rc, ok = rs.former[id]
	}
	return rc, ok
}

// put adds a record. A stream that has a record with another version becomes
// uncertain.
func (rs *records) put(id uint64, rc record) {
	if known, ok := rs.get(id); ok && known.software != rc.software {
		rc.software = ""
	}
	if rc.at.Sub(rs.rotatedAt) >= streamMemory || len(rs.recent) >= maxRecords {
		rs.former, rs.recent, rs.rotatedAt = rs.recent, make(map[uint64]record, len(rs.recent)), rc.at
	}
	rs.recent[id] = rc
}

// since returns the streams that this node served and that began after the time and
// match.
func (rs *records) since(at time.Time, match func(record) bool) map[uint64]record {
	found := map[uint64]record{}
	for _, generation := range []map[uint64]record{rs.former, rs.recent} {
		for id, rc := range generation {
			if rc.server != "" && rc.at.After(at) && match(rc) {
				found[id] = rc
			}
		}
	}
	return found
}
