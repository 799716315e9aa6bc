package connector_test

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/standin/connector"
)

const serverHost, clientHost = "10.0.0.1", "10.0.0.2"

func connect(t *testing.T, nt *connector.Network) (near, far net.Conn) {
	ln, err := nt.Listen(serverHost + ":80")
	require.NoError(t, err)
	near, err = nt.Host(clientHost).Dial(t.Context(), "tcp", serverHost+":80")
	require.NoError(t, err)
	far, err = ln.Accept()
	require.NoError(t, err)
	return near, far
}

func TestFaultsDelayOrDropData(t *testing.T) {
	send := func(cn net.Conn) error {
		_, err := cn.Write([]byte("x"))
		return err
	}
	receive := func(cn net.Conn) error {
		_ = cn.SetReadDeadline(time.Now().Add(time.Second))
		_, err := io.ReadFull(cn, make([]byte, 1))
		return err
	}
	for name, cs := range map[string]struct {
		fault     func(*connector.Network)
		arrives   bool
		afterHeal bool
	}{
		"none":    {func(*connector.Network) {}, true, true},
		"cut":     {func(nt *connector.Network) { nt.Cut(clientHost, serverHost) }, false, true},
		"other":   {func(nt *connector.Network) { nt.Cut(serverHost, clientHost) }, true, true},
		"pause":   {func(nt *connector.Network) { nt.Pause(serverHost) }, false, true},
		"silence": {func(nt *connector.Network) { nt.Silence(serverHost) }, false, false},
		"gone":    {func(nt *connector.Network) { nt.Drop(serverHost, true) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nt := connector.New()
				defer nt.Close()
				near, far := connect(t, nt)
				cs.fault(nt)
				require.NoError(t, send(near))
				require.Equal(t, cs.arrives, receive(far) == nil)
				nt.HealAll()
				require.NoError(t, send(near))
				require.Equal(t, cs.afterHeal, receive(far) == nil)
			})
		})
	}
}

func TestDropReportsErrorsUnlessSilent(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			nt := connector.New()
			defer nt.Close()
			near, _ := connect(t, nt)
			nt.Drop(serverHost, silent)
			_, err := near.Write([]byte("x"))
			require.Equal(t, silent, err == nil)
			before := time.Now()
			_, err = nt.Host(clientHost).Dial(t.Context(), "tcp", serverHost+":80")
			require.Error(t, err)
			require.Equal(t, silent, time.Since(before) > 0)
		})
	}
}
