package runner

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonpass/lagoonpass/internal/protocol/messenger"
	"github.com/lagoonpass/lagoonpass/internal/state/identifier"
)

// authority signs certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	template, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{certificate: template, key: key}
}

// issue writes a certificate with the serial number, its key and the
// authority's certificate to dir, and returns their paths.
func (au *authority) issue(t *testing.T, dir string, serial int64) (certificate, key, root string) {
	pk, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, au.certificate, &pk.PublicKey, au.key)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(pk)
	require.NoError(t, err)
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		// Files that are written within the granularity of the file system's
		// times get different times too.
		changed := time.Unix(1700000000+serial, 0)
		require.NoError(t, os.Chtimes(path, changed, changed))
		return path
	}
	return write("cert.pem", "CERTIFICATE", der), write("key.pem", "PRIVATE KEY", private),
		write("authority.pem", "CERTIFICATE", au.certificate.Raw)
}

func peerSecurity(t *testing.T, au *authority) *security {
	certificate, key, root := au.issue(t, t.TempDir(), 1)
	id := identifier.New("n", "z", "r", "", "", "", "", identifier.WithPeerTLS(certificate, key, root))
	sc, err := newSecurity(id, time.Now)
	require.NoError(t, err)
	return sc
}

func TestPeerWithoutCertificateOfTheAuthorityIsRefused(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sv := messenger.NewServer(messenger.HandlerFunc(func(context.Context, messenger.Message) (messenger.Message, error) {
		return &messenger.RevisionFetched{Head: []byte("served")}, nil
	}))
	go func() { _ = sv.Serve(wrapTLS(plain, peerSecurity(t, ours).peers)) }()
	defer func() { sv.Close(); _ = plain.Close() }()
	stranger := peerSecurity(t, theirs)
	stranger.peers.value.InsecureSkipVerify = true
	for _, tc := range []struct {
		name   string
		pool   *messenger.Pool
		served bool
	}{
		{"of the authority", peerSecurity(t, ours).newPool(), true},
		{"of another authority", peerSecurity(t, theirs).newPool(), false},
		{"of another authority that trusts anyone", stranger.newPool(), false},
		{"without TLS", messenger.NewPool(), false},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		answer, err := tc.pool.Call(ctx, plain.Addr().String(), &messenger.RevisionFetch{})
		cancel()
		tc.pool.Close()
		if !tc.served {
			require.Error(t, err, tc.name)
			continue
		}
		require.NoError(t, err, tc.name)
		require.Equal(t, "served", string(answer.(*messenger.RevisionFetched).Head))
	}
}

func TestChangedCertificateIsUsedWithoutRestart(t *testing.T) {
	au, dir := newAuthority(t), t.TempDir()
	certificate, key, _ := au.issue(t, dir, 1)
	now := time.Unix(0, 0)
	id := identifier.New("n", "z", "r", "", "", "", "", identifier.WithCallerTLS(certificate, key))
	sc, err := newSecurity(id, func() time.Time { return now })
	require.NoError(t, err)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = plain.Close() }()
	ln := wrapTLS(plain, sc.callers)
	go func() {
		for cn, err := ln.Accept(); err == nil; cn, err = ln.Accept() {
			_ = cn.(*tls.Conn).Handshake()
			_ = cn.Close()
		}
	}()
	roots := x509.NewCertPool()
	roots.AddCert(au.certificate)
	served := func() int64 {
		cn, err := tls.Dial("tcp", plain.Addr().String(), &tls.Config{RootCAs: roots})
		require.NoError(t, err)
		defer func() { _ = cn.Close() }()
		require.EqualValues(t, tls.VersionTLS13, cn.ConnectionState().Version)
		return cn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	require.EqualValues(t, 1, served())
	au.issue(t, dir, 2)
	require.EqualValues(t, 1, served(), "looked at too often")
	now = now.Add(reloadInterval)
	require.EqualValues(t, 2, served())
	au.issue(t, dir, 3)
	require.NoError(t, os.WriteFile(key, []byte("half a key"), 0o600))
	now = now.Add(reloadInterval)
	require.EqualValues(t, 2, served(), "the pair in use stays")
	au.issue(t, dir, 4)
	now = now.Add(reloadInterval)
	require.EqualValues(t, 4, served())
}

func TestNewFailsWithoutReadableCertificate(t *testing.T) {
	certificate, key, root := newAuthority(t).issue(t, t.TempDir(), 1)
	for name, opt := range map[string]identifier.Option{
		"TLS for callers: certificate " + key: identifier.WithCallerTLS(key, certificate),
		"TLS for callers: read":               identifier.WithCallerTLS(certificate, "/absent"),
		"TLS for entry nodes: " + key:         identifier.WithPeerTLS(certificate, key, key),
		"TLS for entry nodes: read":           identifier.WithPeerTLS("/absent", key, root),
	} {
		_, err := New(identifier.New("n", "z", "r", "127.0.0.1:0", "127.0.0.1:0", "http://127.0.0.1:1", "http://127.0.0.1:1", opt))
		require.ErrorContains(t, err, name)
	}
}
