package reaper_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/transport/reaper"
)

// TestIdleConnectionsAreClosed follows a limit that changes while connections
// are open.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int64
		limit.Store(int64(10 * time.Second))
		rp := reaper.New(func() time.Duration { return time.Duration(limit.Load()) })
		open := func() (net.Conn, func() bool) {
			near, far := net.Pipe()
			ended := make(chan struct{})
			go func() {
				_, _ = far.Read(make([]byte, 1))
				close(ended)
			}()
			return near, func() bool {
				synctest.Wait()
				select {
				case <-ended:
					return true
				default:
					return false
				}
			}
		}
		quiet, quietEnded := open()
		busy, busyEnded := open()
		rp.Track(quiet, http.StateNew)
		rp.Track(busy, http.StateNew)
		require.Equal(t, 2, rp.Idle())
		time.Sleep(9 * time.Second)
		rp.Track(busy, http.StateActive)
		time.Sleep(2 * time.Second)
		require.True(t, quietEnded(), "it never sent a request")
		time.Sleep(time.Minute)
		require.False(t, busyEnded(), "a request is in progress")
		limit.Store(int64(2 * time.Second))
		rp.Track(busy, http.StateIdle)
		time.Sleep(1900 * time.Millisecond)
		require.False(t, busyEnded())
		time.Sleep(200 * time.Millisecond)
		require.True(t, busyEnded())
		limit.Store(int64(2 * time.Second))
		grown, grownEnded := open()
		rp.Track(grown, http.StateIdle)
		time.Sleep(time.Second)
		limit.Store(int64(10 * time.Second))
		time.Sleep(8500 * time.Millisecond)
		require.False(t, grownEnded(), "the limit grew")
		time.Sleep(time.Second)
		require.True(t, grownEnded())
		limit.Store(0)
		free, freeEnded := open()
		rp.Track(free, http.StateIdle)
		time.Sleep(time.Hour)
		require.False(t, freeEnded(), "no limit")
		require.Zero(t, rp.Idle())
		rp.Track(free, http.StateClosed)
		require.NoError(t, free.Close())
	})
}
