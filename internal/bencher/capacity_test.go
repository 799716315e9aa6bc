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
			stored, changed := storedBytes(b, files)
			b.ReportMetric(float64(stored), "stored-bytes")
			b.ReportMetric(float64(changed), "changed-bytes")
			b.ReportMetric(float64(heldBytes(b, files)), "held-bytes")
		})
	}
}

// storedBytes returns the size of a revision's parts in the platform's store,
// and of what a node fetches for a change of one small file: its part and the
// head.
func storedBytes(b *testing.B, files []configurer.File) (stored, changed int) {
	mem := platform.NewMemory()
	_, err := publisher.Apply(b.Context(), mem, files, "bench", 0)
	require.NoError(b, err)
	before := sumBytes(b, mem, "config/part/")
	small := configurer.File{Name: "90-change.ini", Text: "[model.model-0001]\nversion = v9\n"}
	_, err = publisher.Apply(b.Context(), mem, append(files, small), "bench", 1)
	require.NoError(b, err)
	return before, sumBytes(b, mem, "config/part/") - before + sumBytes(b, mem, "config/head")
}

func sumBytes(b *testing.B, mem *platform.Memory, prefix string) int {
	entries, err := mem.List(b.Context(), prefix)
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
