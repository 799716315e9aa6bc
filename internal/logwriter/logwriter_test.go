package logwriter_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/logwriter"
)

// output records what is written. Write blocks until unblocked is closed.
type output struct {
	mu        sync.Mutex
	text      bytes.Buffer
	unblocked chan struct{}
}

func (ou *output) Write(line []byte) (int, error) {
	<-ou.unblocked
	ou.mu.Lock()
	defer ou.mu.Unlock()
	return ou.text.Write(line)
}

func TestWriteNeverBlocksWhenOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ou := &output{unblocked: make(chan struct{})}
		lw := logwriter.New(ou)
		began := time.Now()
		for range 10 {
			for range 1000 {
				count, err := lw.Write([]byte("line\n"))
				require.NoError(t, err)
				require.Equal(t, 5, count)
			}
			time.Sleep(time.Second)
		}
		require.Equal(t, 10*time.Second, time.Since(began), "no line waits")
		require.Positive(t, lw.Omitted())
		close(ou.unblocked)
		synctest.Wait()
		_, _ = lw.Write([]byte("last\n"))
		lw.Close()
		require.Contains(t, ou.text.String(), "log lines left out")
		require.Contains(t, ou.text.String(), "last\n")
	})
}

func TestWriteDropsLinesAboveRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ou := &output{unblocked: make(chan struct{})}
		close(ou.unblocked)
		lw := logwriter.New(ou)
		for range 5000 {
			_, _ = lw.Write([]byte("line\n"))
		}
		synctest.Wait()
		lw.Close()
		require.LessOrEqual(t, strings.Count(ou.text.String(), "line\n"), 301)
		_, err := lw.Write([]byte("after\n"))
		require.NoError(t, err)
	})
}
