package bencher_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/bencher"
	"github.com/lagoonpass/lagoonpass/internal/coordination/publisher"
	"github.com/lagoonpass/lagoonpass/internal/standin/platform"
	"github.com/lagoonpass/lagoonpass/internal/state/configurer"
)

// fleetSizes are parts of the size to come: 360 nodes before 1,300 backend
// servers with 650 models.
var fleetSizes = []struct{ nodes, servers, models int }{
	{4, 18, 20}, {16, 58, 29}, {64, 231, 116}, {360, 1300, 650},
}

// BenchmarkSettings measures what one change of configuration costs a node, how
// many bytes it is, and what settings hold in memory.
func BenchmarkSettings(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d-servers", size.servers), func(b *testing.B) {
			files := bencher.Fleet(size.servers, size.models, size.models)
			for b.Loop() {
				_, faults := configurer.Parse(files)
				require.Empty(b, faults)
			}
			b.ReportMetric(float64(storedBytes(b, files)), "stored-bytes")
			b.ReportMetric(float64(heldBytes(b, files)), "held-bytes")
		})
	}
}

// storedBytes returns the size of a revision in the platform's store.
func storedBytes(b *testing.B, files []configurer.File) int {
	mem := platform.NewMemory()
	_, err := publisher.Apply(b.Context(), mem, files, "bench", 0)
	require.NoError(b, err)
	entries, err := mem.List(b.Context(), "config/part/")
	require.NoError(b, err)
	sum := 0
	for _, en := range entries {
		sum += len(en.Value)
	}
	return sum
}

// heldBytes returns the heap that parsed settings keep.
func heldBytes(b *testing.B, files []configurer.File) uint64 {
	before := heap()
	st, faults := configurer.Parse(files)
	require.Empty(b, faults)
	after := heap()
	runtime.KeepAlive(st)
	return after - min(before, after)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}
