// Package hfkey holds an instance's certificate and the authority of the others,
// and reads them again when their files change, so that keys rotate without a
// restart.
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

// ErrKey reports a certificate, key or authority that cannot be used.
var ErrKey = eris.New("unusable key file")

// checkEvery is the least time between two looks at the files.
const checkEvery = time.Second

// Keys are the files of one instance. A rotation that cannot be read is reported
// by Err and leaves the last good keys in use.
type Keys struct {
	certificate, key, authority string

	mu      sync.Mutex
	checked time.Time
	stamp   time.Time // newest modification among the files in use
	pair    tls.Certificate
	roots   *x509.CertPool
	err     error
}

// New reads the files.
func New(certificate, key, authority string) (*Keys, error) {
	k := &Keys{certificate: certificate, key: key, authority: authority}
	if err := k.load(); err != nil {
		return nil, fmt.Errorf("read keys: %w", err)
	}
	k.stamp = k.newest()
	return k, nil
}

func (k *Keys) load() error {
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrKey, err)
	}
	pem, err := os.ReadFile(k.authority)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrKey, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%w: no certificate in %s", ErrKey, k.authority)
	}
	k.pair, k.roots = pair, roots
	return nil
}

func (k *Keys) newest() time.Time {
	var newest time.Time
	for _, file := range []string{k.certificate, k.key, k.authority} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the keys in use, after a look at the files.
func (k *Keys) current() (tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.checked) >= checkEvery {
		k.checked = now
		if stamp := k.newest(); !stamp.Equal(k.stamp) {
			if k.err = k.load(); k.err == nil {
				k.stamp = stamp
			}
		}
	}
	return k.pair, k.roots
}

// Err returns why the last rotation was not taken, or nil.
func (k *Keys) Err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.err
}

// Public returns the configuration of a listener for callers.
func (k *Keys) Public() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pair, _ := k.current()
		return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}, nil
	}}
}

// Mutual returns the configuration of a listener for other instances, which have to
// show a certificate of the authority.
func (k *Keys) Mutual() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		pair, roots := k.current()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: roots,
		}, nil
	}}
}

// Dialer opens connections to other instances under both sides' certificates.
type Dialer struct {
	keys *Keys
	next interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}
}

// Dialer returns a dialer over plain connections of next.
func (k *Keys) Dialer(next *net.Dialer) Dialer { return Dialer{keys: k, next: next} }

// DialContext connects and completes the handshake.
func (d Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	plain, err := d.next.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	pair, roots := d.keys.current()
	conn := tls.Client(plain, &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: roots, Certificates: []tls.Certificate{pair},
	})
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = plain.Close()
		return nil, fmt.Errorf("handshake with %s: %w", address, err)
	}
	return conn, nil
}
