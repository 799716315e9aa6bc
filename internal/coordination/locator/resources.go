package locator

import "math"

// Resources are those of a machine that bound the requests that its node bears. A
// resource that is 0 is not known and bounds nothing.
type Resources struct {
	// Cores is the processor time that the machine has a second.
	Cores float64
	// MemoryMB is its memory in MB.
	MemoryMB float64
	// Descriptors is how many files the process may open.
	Descriptors float64
	// LinkMbps is what its link carries in each direction.
	LinkMbps float64
}

// What one request needs, and a node without requests. Only the proportion between
// nodes matters to the choice of addresses.
const (
	// coresOfNode is the processor time that control may take of a node
	// (docs/CAPACITY.md).
	coresOfNode = 0.025
	// coresPerRequest is in core seconds: 6.9 s for 2,893 requests, two
	// thirds of them for models, in the first day of journal/20261204T004449-a8d9a46c.json.
	coresPerRequest = 0.0024
	// megabytesOfNode has room for the 43 MiB of a node with the settings of 1,300
	// servers (docs/CAPACITY.md).
	megabytesOfNode = 64
	// megabytesPerRequest is that of an open stream (71 KiB, docs/CAPACITY.md) with the
	// request's body and garbage that is not yet collected.
	megabytesPerRequest = 0.25
	// descriptorsOfNode and descriptorsPerRequest: connections to peers, and one each
	// to the caller and the server.
	descriptorsOfNode, descriptorsPerRequest = 200, 2
	// secondsPerRequest is how long a request holds memory and descriptors.
	secondsPerRequest = 4
	// megabitsPerRequest is for 16 KB in each direction: heads, a small body, and 300
	// events of a stream.
	megabitsPerRequest = 0.128
)

// Capacity returns the requests a second that the scarcest resource bears, at least 1;
// 0 if no resource is known.
func (rs Resources) Capacity() int64 {
	least := math.Inf(1)
	for _, nd := range []struct{ has, fixed, perRequest float64 }{
		{rs.Cores, coresOfNode, coresPerRequest},
		{rs.MemoryMB, megabytesOfNode, megabytesPerRequest * secondsPerRequest},
		{rs.Descriptors, descriptorsOfNode, descriptorsPerRequest * secondsPerRequest},
		{rs.LinkMbps, 0, megabitsPerRequest},
	} {
		if nd.has > 0 {
			least = min(least, (nd.has-nd.fixed)/nd.perRequest)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return max(int64(least), 1)
}
