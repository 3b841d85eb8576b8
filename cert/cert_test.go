package cert

import (
	"bytes"
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
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/credentials"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/event"
)

// authority signs test certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(raw)
	assert.NilError(t, err)
	return &authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", raw)}
}

func encodePEM(kind string, raw []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
}

// issue writes a certificate for an IP, identified by its serial number.
func (a *authority) issue(t *testing.T, f *Files, ip string, serial int64) {
	t.Helper()
	key := newKey(t)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.ParseIP(ip)}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, key.Public(), a.key)
	assert.NilError(t, err)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	writeFile(t, f.Cert, encodePEM("CERTIFICATE", raw))
	writeFile(t, f.Key, encodePEM("PRIVATE KEY", pkcs8))
	writeFile(t, f.CA, a.pem)
}

// lastModTime advances with each write, so that no two files have the same modification time.
var lastModTime = time.Unix(1_700_000_000, 0)

func writeFile(t *testing.T, path string, raw []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, raw, 0o600))
	lastModTime = lastModTime.Add(time.Second)
	assert.NilError(t, os.Chtimes(path, lastModTime, lastModTime))
}

// testProcess is a process with its own files, log and clock.
type testProcess struct {
	*Files
	log bytes.Buffer
	now time.Time
}

func newTestProcess(t *testing.T) *testProcess {
	t.Helper()
	dir := t.TempDir()
	s := &testProcess{now: time.Now()}
	s.Files = &Files{
		Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
		Log: &event.Log{Out: &s.log}, Now: func() time.Time { return s.now },
	}
	return s
}

// handshake dials 127.0.0.1 over TCP and returns the serial number that the client
// received, or the first error of either side.
func handshake(t *testing.T, server, client *testProcess) (int64, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	failed := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			defer conn.Close()
			_, _, err = server.Credentials().ServerHandshake(conn)
		}
		failed <- err
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, info, err := client.Credentials().ClientHandshake(context.Background(), l.Addr().String(), conn)
	if err != nil {
		conn.Close()
		<-failed
		return 0, err
	}
	if err := <-failed; err != nil {
		return 0, err
	}
	return info.(credentials.TLSInfo).State.PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestMutualTLS(t *testing.T) {
	ca, untrusted := newAuthority(t), newAuthority(t)
	server, client := newTestProcess(t), newTestProcess(t)
	ca.issue(t, server.Files, "127.0.0.1", 10)
	ca.issue(t, client.Files, "127.0.0.1", 11)
	assert.NilError(t, server.Load())
	assert.NilError(t, client.Load())
	serial, err := handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(10))

	other := newTestProcess(t)
	untrusted.issue(t, other.Files, "127.0.0.1", 12)
	assert.NilError(t, other.Load())
	_, err = handshake(t, server, other)
	assert.Assert(t, err != nil, "a certificate of an untrusted authority")

	wrongIP := newTestProcess(t)
	ca.issue(t, wrongIP.Files, "127.0.0.2", 13)
	assert.NilError(t, wrongIP.Load())
	_, err = handshake(t, wrongIP, client)
	assert.ErrorContains(t, err, "127.0.0.1")
}

// TestRotatedCertificateServesNextHandshake guards against a process that continues to use an
// old certificate after a rotation without restart: after its expiry, no other process would
// connect to it.
func TestRotatedCertificateServesNextHandshake(t *testing.T) {
	ca, next := newAuthority(t), newAuthority(t)
	server, client := newTestProcess(t), newTestProcess(t)
	ca.issue(t, server.Files, "127.0.0.1", 20)
	ca.issue(t, client.Files, "127.0.0.1", 21)
	assert.NilError(t, server.Load())
	assert.NilError(t, client.Load())
	next.issue(t, server.Files, "127.0.0.1", 22)
	next.issue(t, client.Files, "127.0.0.1", 23)
	serial, err := handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(20), "files are checked once per second")
	server.now = server.now.Add(recheckInterval)
	client.now = client.now.Add(recheckInterval)
	serial, err = handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(22))
	assert.Equal(t, strings.Count(server.log.String(), `"name":"cert_expires"`), 1, "the certificate expires within an hour")
}

// TestInvalidFilesKeepLastGood guards against a host that can't connect to the fleet because
// a tool failed between writing certificate and key, or truncated a file.
func TestInvalidFilesKeepLastGood(t *testing.T) {
	ca := newAuthority(t)
	server, client := newTestProcess(t), newTestProcess(t)
	ca.issue(t, server.Files, "127.0.0.1", 30)
	ca.issue(t, client.Files, "127.0.0.1", 31)
	assert.NilError(t, server.Load())
	assert.NilError(t, client.Load())
	for _, path := range []string{server.Cert, server.Key, server.CA} {
		writeFile(t, path, []byte("-----BEGIN CERT"))
		server.now = server.now.Add(recheckInterval)
		server.log.Reset()
		serial, err := handshake(t, server, client)
		assert.NilError(t, err)
		assert.Equal(t, serial, int64(30))
		assert.Equal(t, strings.Count(server.log.String(), `"name":"cert_broken"`), 1, server.log.String())
	}
	assert.Assert(t, IsErrFiles(server.Load()))
	ca.issue(t, server.Files, "127.0.0.1", 32)
	server.now = server.now.Add(recheckInterval)
	serial, err := handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(32))
}

// TestCallerConfig checks that callers connect without certificates, and that the server's certificate
// is the one in the files.
func TestCallerConfig(t *testing.T) {
	ca := newAuthority(t)
	server := newTestProcess(t)
	ca.issue(t, server.Files, "127.0.0.1", 40)
	assert.NilError(t, server.Load())
	l, err := tls.Listen("tcp", "127.0.0.1:0", server.CallerConfig())
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
	}()
	roots := x509.NewCertPool()
	roots.AddCert(ca.cert)
	conn, err := tls.Dial("tcp", l.Addr().String(), &tls.Config{RootCAs: roots})
	assert.NilError(t, err)
	assert.Equal(t, conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), int64(40))
	conn.Close()
}
