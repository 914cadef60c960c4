// Package hfkey loads an instance's TLS certificate and the certificate authority
// of its peers, and reloads them when their files change, so that keys can be
// rotated without a restart.
package hfkey

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrInvalidKeyFile reports a certificate, key or certificate authority file that
// cannot be loaded.
var ErrInvalidKeyFile = eris.New("unusable key file")

// checkInterval is the minimum time between two checks for changed files.
const checkInterval = time.Second

// Keys are the certificate, private key and certificate authority of one instance.
// If changed files cannot be loaded, the previous ones stay in use and Err returns
// the reason. Keys are safe for concurrent use.
type Keys struct {
	certificateFile, keyFile, authorityFile string

	mu          sync.Mutex
	lastCheck   time.Time
	modTime     time.Time // latest modification time of the files in use
	certificate tls.Certificate
	roots       *x509.CertPool
	reloadErr   error
}

// New loads the keys from their files.
func New(certificate, key, authority string) (*Keys, error) {
	k := &Keys{certificateFile: certificate, keyFile: key, authorityFile: authority}
	if err := k.load(); err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	k.modTime = k.latestModTime()
	return k, nil
}

func (k *Keys) load() error {
	certificate, err := tls.LoadX509KeyPair(k.certificateFile, k.keyFile)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidKeyFile, err)
	}
	pem, err := os.ReadFile(k.authorityFile)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidKeyFile, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%w: no certificate in %s", ErrInvalidKeyFile, k.authorityFile)
	}
	k.certificate, k.roots = certificate, roots
	return nil
}

// latestModTime returns the latest modification time of the files.
func (k *Keys) latestModTime() time.Time {
	var latest time.Time
	for _, file := range []string{k.certificateFile, k.keyFile, k.authorityFile} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the certificate authority in use. It first
// reloads the files if they changed, at most once per checkInterval.
func (k *Keys) current() (tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.lastCheck) >= checkInterval {
		k.lastCheck = now
		if modTime := k.latestModTime(); !modTime.Equal(k.modTime) {
			if k.reloadErr = k.load(); k.reloadErr == nil {
				k.modTime = modTime
			}
		}
	}
	return k.certificate, k.roots
}

// Err returns the error of the last reload, or nil if it succeeded or there was none.
func (k *Keys) Err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reloadErr
}

// CallerTLSConfig returns the TLS configuration of the listener for callers.
func (k *Keys) CallerTLSConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		certificate, _ := k.current()
		return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}, nil
	}}
}

// PeerTLSConfig returns the TLS configuration of the listener for other instances.
// It requires client certificates signed by the certificate authority.
func (k *Keys) PeerTLSConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		certificate, roots := k.current()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: roots,
		}, nil
	}}
}

// Dialer opens mutually authenticated TLS connections to other instances.
type Dialer struct {
	keys *Keys
	base interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}
}

// Dialer returns a Dialer whose underlying connections are opened by base.
func (k *Keys) Dialer(base *net.Dialer) Dialer { return Dialer{keys: k, base: base} }

// DialContext connects to address and completes the TLS handshake.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	raw, err := d.base.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	certificate, roots := d.keys.current()
	conn := tls.Client(raw, &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: roots, Certificates: []tls.Certificate{certificate},
	})
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("handshake with %s: %w", address, err)
	}
	return conn, nil
}
