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

// TestIdleConnectionsCloseAtCurrentLimit changes the limit while connections
// are open.
func TestIdleConnectionsCloseAtCurrentLimit(t *testing.T) {
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
		unused, unusedEnded := open()
		busy, busyEnded := open()
		rp.Track(unused, http.StateNew)
		rp.Track(busy, http.StateNew)
		require.Equal(t, 2, rp.Idle())
		time.Sleep(9 * time.Second)
		rp.Track(busy, http.StateActive)
		time.Sleep(2 * time.Second)
		require.True(t, unusedEnded(), "it never sent a request")
		time.Sleep(time.Minute)
		require.False(t, busyEnded(), "a request is in progress")
		limit.Store(int64(2 * time.Second))
		rp.Track(busy, http.StateIdle)
		time.Sleep(1900 * time.Millisecond)
		require.False(t, busyEnded())
		time.Sleep(200 * time.Millisecond)
		require.True(t, busyEnded())
		limit.Store(int64(2 * time.Second))
		extended, extendedEnded := open()
		rp.Track(extended, http.StateIdle)
		time.Sleep(time.Second)
		limit.Store(int64(10 * time.Second))
		time.Sleep(8500 * time.Millisecond)
		require.False(t, extendedEnded(), "the limit grew")
		time.Sleep(time.Second)
		require.True(t, extendedEnded())
		limit.Store(0)
		unlimited, unlimitedEnded := open()
		rp.Track(unlimited, http.StateIdle)
		time.Sleep(time.Hour)
		require.False(t, unlimitedEnded(), "no limit")
		require.Zero(t, rp.Idle())
		rp.Track(unlimited, http.StateClosed)
		require.NoError(t, unlimited.Close())
	})
}
