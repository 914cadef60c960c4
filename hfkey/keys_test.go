package hfkey

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/heatherfront/heatherfront/hfstand"
)

// authority is a certificate authority that issues certificates for 127.0.0.1.
type authority struct{ *hfstand.Authority }

func newAuthority(t *testing.T) authority {
	a, err := hfstand.NewAuthority()
	require.NoError(t, err)
	return authority{a}
}

// issue writes a new certificate, its key and the authority's certificate to files
// and returns the file names.
func (a authority) issue(t *testing.T, dir, name string, serial int64) (cert, key, root string) {
	cert, key, root, err := a.Issue(dir, name, serial)
	require.NoError(t, err)
	return cert, key, root
}

// startEchoServer starts a server on the listener for other instances that echoes
// what it receives, and returns its address.
func startEchoServer(t *testing.T, k *Keys) string {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln := tls.NewListener(plain, k.PeerTLSConfig())
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// roundTrip connects, sends a byte, reads it back and returns the serial number of
// the server's certificate.
func roundTrip(t *testing.T, k *Keys, address string) (int64, error) {
	conn, err := k.Dialer(&net.Dialer{Timeout: time.Second}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write([]byte{1}); err != nil {
		return 0, err
	}
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutualTLSRequiresSharedAuthority(t *testing.T) {
	dir, ours := t.TempDir(), newAuthority(t)
	server, err := New(ours.issue(t, dir, "server", 2))
	require.NoError(t, err)
	client, err := New(ours.issue(t, dir, "client", 3))
	require.NoError(t, err)
	foreign, err := New(newAuthority(t).issue(t, dir, "foreign", 4))
	require.NoError(t, err)
	address := startEchoServer(t, server)
	serial, err := roundTrip(t, client, address)
	require.NoError(t, err)
	require.Equal(t, int64(2), serial)
	_, err = roundTrip(t, foreign, address)
	require.Error(t, err, "a certificate signed by another authority")
}

func TestRotationWithoutRestart(t *testing.T) {
	dir, ours := t.TempDir(), newAuthority(t)
	server, err := New(ours.issue(t, dir, "server", 2))
	require.NoError(t, err)
	client, err := New(ours.issue(t, dir, "client", 3))
	require.NoError(t, err)
	address := startEchoServer(t, server)
	certificate, _, _ := ours.issue(t, dir, "server", 9)
	modTime := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(certificate, modTime, modTime))
	require.Eventually(t, func() bool {
		serial, err := roundTrip(t, client, address)
		return err == nil && serial == 9
	}, 20*time.Second, 100*time.Millisecond)
	require.NoError(t, os.WriteFile(certificate, []byte("broken"), 0o600))
	require.Eventually(t, func() bool {
		serial, err := roundTrip(t, client, address)
		return err == nil && serial == 9 && server.Err() != nil
	}, 20*time.Second, 100*time.Millisecond, "the previous keys stay in use")
}

func TestMissingFiles(t *testing.T) {
	_, err := New("none", "none", "none")
	require.ErrorIs(t, err, ErrInvalidKeyFile)
}
