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

// fleetSizes grow to the planned size of 360 entry nodes, 1,300 backend servers
// and 650 models.
var fleetSizes = []struct{ nodes, servers, models int }{
	{4, 18, 20}, {16, 58, 29}, {64, 231, 116}, {360, 1300, 650},
}

// BenchmarkSettings measures the time in which a node parses the settings, the
// stored and the changed bytes of a revision, and the heap that settings retain.
func BenchmarkSettings(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("%d-servers", size.servers), func(b *testing.B) {
			files := bencher.FleetFiles(size.servers, size.models, size.models)
			for b.Loop() {
				_, faults := configurer.Parse(files)
				require.Empty(b, faults)
			}
			stored, changed := storedBytes(b, files)
			b.ReportMetric(float64(stored), "stored-bytes")
			b.ReportMetric(float64(changed), "changed-bytes")
			b.ReportMetric(float64(retainedBytes(b, files)), "held-bytes")
		})
	}
}

// storedBytes returns the size of a revision's parts in the platform's store and
// the size of the data that a node fetches after a change of one small file: the
// file's part and the head.
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

// retainedBytes returns the bytes of heap that parsed settings retain.
func retainedBytes(b *testing.B, files []configurer.File) uint64 {
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
