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

// output keeps what is written once it is let through.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
	gate chan struct{}
}

func (ou *output) Write(line []byte) (int, error) {
	<-ou.gate
	ou.mu.Lock()
	defer ou.mu.Unlock()
	return ou.text.Write(line)
}

func TestReaderThatStopsHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ou := &output{gate: make(chan struct{})}
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
		close(ou.gate)
		synctest.Wait()
		_, _ = lw.Write([]byte("last\n"))
		lw.Close()
		require.Contains(t, ou.text.String(), "log lines left out")
		require.Contains(t, ou.text.String(), "last\n")
	})
}

func TestLinesOfASecondAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ou := &output{gate: make(chan struct{})}
		close(ou.gate)
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
