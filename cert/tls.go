package cert

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
)

// CallerConfig returns the configuration of a listener for callers, which authenticate with keys
// and not with certificates.
func (f *Files) CallerConfig() *tls.Config {
	return f.serverConfig(func(m *keyMaterial) *tls.Config {
		return &tls.Config{
			MinVersion:   tls.VersionTLS12,
			NextProtos:   []string{"h2", "http/1.1"},
			Certificates: []tls.Certificate{m.pair},
		}
	})
}

// serverConfig returns a configuration that is built for each connection.
func (f *Files) serverConfig(build func(*keyMaterial) *tls.Config) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := f.current()
			if err != nil {
				return nil, err
			}
			return build(m), nil
		},
	}
}

// peerConfig returns the configuration of one connection between processes of the system,
// for either side. Session tickets are disabled: a resumed session would remain valid
// after the authority that signed its certificate was removed.
func peerConfig(m *keyMaterial) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{"h2"},
		Certificates:           []tls.Certificate{m.pair},
		RootCAs:                m.roots,
		ClientCAs:              m.roots,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}
}

// Credentials returns mutual TLS for gRPC, for servers and clients. A client
// verifies the server's certificate against the IP that it dialed.
func (f *Files) Credentials() credentials.TransportCredentials {
	return &creds{files: f}
}

// creds builds gRPC's own TLS credentials for each handshake from the files in
// use at that time.
type creds struct{ files *Files }

// ClientHandshake implements credentials.TransportCredentials.
func (c *creds) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	m, err := c.files.current()
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(peerConfig(m)).ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *creds) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	m, err := c.files.current()
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(peerConfig(m)).ServerHandshake(conn)
}

// Info implements credentials.TransportCredentials.
func (c *creds) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone implements credentials.TransportCredentials.
func (c *creds) Clone() credentials.TransportCredentials { return &creds{files: c.files} }

// OverrideServerName implements credentials.TransportCredentials. It always returns
// an error, as a peer is verified against the dialed address.
func (c *creds) OverrideServerName(string) error {
	return errors.New("server name can't be overridden: a peer is verified by its address")
}
