package runner

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/identifier"
)

// handshakeTimeout bounds connecting to a peer, including the TLS handshake.
const handshakeTimeout = 2 * time.Second

// security holds the TLS configurations of a node. Nil means plain TCP.
type security struct {
	callers *reloader[*tls.Config]
	peers   *reloader[*tls.Config]
}

// newSecurity loads the certificates that the node's settings name.
func newSecurity(id *identifier.Node, now func() time.Time) (*security, error) {
	sc := &security{}
	var err error
	if kp := id.CallerTLS(); kp.IsSet() {
		load := func() (*tls.Config, error) { return callerConfig(kp) }
		if sc.callers, err = newReloader(now, load, kp.Certificate(), kp.Key()); err != nil {
			return nil, errors.Wrap(err, "TLS for callers")
		}
	}
	if kp := id.PeerTLS(); kp.IsSet() {
		load := func() (*tls.Config, error) { return peerConfig(kp, id.PeerAuthority()) }
		if sc.peers, err = newReloader(now, load, kp.Certificate(), kp.Key(), id.PeerAuthority()); err != nil {
			return nil, errors.Wrap(err, "TLS for entry nodes")
		}
	}
	return sc, nil
}

func callerConfig(kp identifier.KeyPair) (*tls.Config, error) {
	ct, err := loadPair(kp)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{ct}, MinVersion: tls.VersionTLS13}, nil
}

// peerConfig returns the configuration for both ends of a connection. Sessions
// are not resumed, so that a certificate of a former authority is refused on
// the next connection.
func peerConfig(kp identifier.KeyPair, authority string) (*tls.Config, error) {
	ct, err := loadPair(kp)
	if err != nil {
		return nil, err
	}
	text, err := readFile(authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s holds no certificate in PEM", authority)
	}
	return &tls.Config{
		Certificates:           []tls.Certificate{ct},
		MinVersion:             tls.VersionTLS13,
		RootCAs:                pool,
		ClientCAs:              pool,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}, nil
}

func loadPair(kp identifier.KeyPair) (tls.Certificate, error) {
	chain, err := readFile(kp.Certificate())
	if err != nil {
		return tls.Certificate{}, err
	}
	key, err := readFile(kp.Key())
	if err != nil {
		return tls.Certificate{}, err
	}
	ct, err := tls.X509KeyPair(chain, key)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "certificate %s with key %s", kp.Certificate(), kp.Key())
	}
	return ct, nil
}

// wrapTLS adds TLS to a listener if rl is not nil.
func wrapTLS(ln net.Listener, rl *reloader[*tls.Config]) net.Listener {
	if rl == nil {
		return ln
	}
	choose := func(*tls.ClientHelloInfo) (*tls.Config, error) { return rl.get(), nil }
	return tls.NewListener(ln, &tls.Config{GetConfigForClient: choose, MinVersion: tls.VersionTLS13})
}

// newPool returns the pool of connections to peers.
func (sc *security) newPool() *messenger.Pool {
	if sc.peers == nil {
		return messenger.NewPool()
	}
	return messenger.NewPool(messenger.WithDial(sc.dialPeer))
}

func (sc *security) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	dl := &tls.Dialer{NetDialer: &net.Dialer{Timeout: handshakeTimeout}, Config: sc.peers.get()}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	cn, err := dl.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer by TLS")
	}
	return cn, nil
}
