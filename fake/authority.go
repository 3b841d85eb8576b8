package fake

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// Authority is a certificate authority for test fleets. In production the
// operator's own authority issues the certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

// CertFiles holds the paths of a certificate, its private key and the
// certificate of its authority, all in PEM.
type CertFiles struct {
	Cert, Key, CA string
}

// certTTL is the validity period of all certificates issued here.
const certTTL = 24 * time.Hour

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate authority")
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "stand-in authority"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(certTTL), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate authority")
	}
	cert, err := x509.ParseCertificate(raw)
	return &Authority{cert: cert, key: key, der: raw}, errors.Wrap(err, "create certificate authority")
}

// Issue writes a certificate for ip, its private key and the authority's
// certificate into dir, as name.crt, name.key and name.ca.
func (a *Authority) Issue(dir, name, ip string) (CertFiles, error) {
	f := CertFiles{
		Cert: filepath.Join(dir, name+".crt"),
		Key:  filepath.Join(dir, name+".key"),
		CA:   filepath.Join(dir, name+".ca"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, errors.Wrap(err, "issue certificate")
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		IPAddresses: []net.IP{net.ParseIP(ip)}, NotAfter: time.Now().Add(certTTL),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, t, a.cert, key.Public(), a.key)
	if err != nil {
		return f, errors.Wrap(err, "issue certificate")
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return f, errors.Wrap(err, "issue certificate")
	}
	return f, f.write(raw, pkcs8, a.der)
}

func (f CertFiles) write(cert, key, ca []byte) error {
	for _, part := range []struct {
		path, kind string
		raw        []byte
	}{
		{f.Cert, "CERTIFICATE", cert},
		{f.Key, "PRIVATE KEY", key},
		{f.CA, "CERTIFICATE", ca},
	} {
		if err := os.WriteFile(part.path, pem.EncodeToMemory(&pem.Block{Type: part.kind, Bytes: part.raw}), 0o600); err != nil {
			return errors.Wrap(err, "issue certificate")
		}
	}
	return nil
}
