package hfstand

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// certificateTime is how long a certificate is valid before and after it is issued.
const certificateTime = time.Hour

// Authority is a certificate authority that issues certificates for 127.0.0.1.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: now.Add(-certificateTime), NotAfter: now.Add(certificateTime), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	return &Authority{cert: cert, key: key}, nil
}

// Issue writes a new certificate, its key and the authority's certificate to files of a directory and returns their
// names.
func (a *Authority) Issue(dir, name string, serial int64) (cert, key, root string, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", "", fmt.Errorf("issue: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: now.Add(-certificateTime), NotAfter: now.Add(certificateTime),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
	if err != nil {
		return "", "", "", fmt.Errorf("issue: %w", err)
	}
	keyDER, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		return "", "", "", fmt.Errorf("issue: %w", err)
	}
	cert, key, root = filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, name+".ca")
	for _, f := range []struct {
		file, kind string
		der        []byte
	}{{cert, "CERTIFICATE", der}, {key, "EC PRIVATE KEY", keyDER}, {root, "CERTIFICATE", a.cert.Raw}} {
		if err := os.WriteFile(f.file, pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der}), 0o600); err != nil {
			return "", "", "", fmt.Errorf("issue: %w", err)
		}
	}
	return cert, key, root, nil
}
