package node

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/cert"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/dial"
	"chestnutstep.example/chestnutstep/fake"
)

// testFleet is a fleet of one engine, its agent and an entry in the test process, with TLS on all
// connections and a stand-in for the platform.
type testFleet struct {
	t           *testing.T
	dir         string
	platform    *fake.Platform
	ca          *fake.Authority
	platformURL string
	agentAddr   string
	callersAddr string
	adminAddrs  []string
	roots       *x509.CertPool
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, dir: t.TempDir(), platform: &fake.Platform{}, agentAddr: freeAddr(t), callersAddr: freeAddr(t), adminAddrs: []string{freeAddr(t), freeAddr(t)}}
	var err error
	f.ca, err = fake.NewAuthority()
	assert.NilError(t, err)
	srv := httptest.NewServer(f.platform)
	t.Cleanup(srv.Close)
	f.platformURL = srv.URL
	f.publish()
	engine := httptest.NewServer(&fake.Engine{})
	t.Cleanup(engine.Close)
	f.start(&Agent{Settings: f.settings(config.RoleAgent, fmt.Sprintf(
		`"name": "label-1", "listen": %q, "admin": %q, "target": {"name": "label-1", "url": %q}`, f.agentAddr, f.adminAddrs[0], engine.URL,
	)), Out: io.Discard})
	callerFiles := f.issue("door")
	f.start(&Entry{Settings: f.settings(config.RoleEntry, fmt.Sprintf(
		`"name": "e1", "listen": %q, "peer": %q, "admin": %q, "callers": {"cert": %q, "key": %q}`,
		f.callersAddr, freeAddr(t), f.adminAddrs[1], callerFiles.Cert, callerFiles.Key,
	)), Out: io.Discard})
	raw, err := os.ReadFile(callerFiles.CA)
	assert.NilError(t, err)
	f.roots = x509.NewCertPool()
	assert.Assert(t, f.roots.AppendCertsFromPEM(raw))
	for _, admin := range f.adminAddrs {
		f.waitReady(admin)
	}
	return f
}

func (f *testFleet) issue(name string) fake.CertFiles {
	files, err := f.ca.Issue(f.dir, name, ownHost)
	assert.NilError(f.t, err)
	return files
}

func (f *testFleet) settings(role config.Role, rest string) *config.Settings {
	files := f.issue(string(role))
	raw := fmt.Sprintf(`{"host": "h", "domain": "a", "region": "r", "platform": %q, "drain": "5s",
		"tls": {"cert": %q, "key": %q, "ca": %q}, %s}`, f.platformURL, files.Cert, files.Key, files.CA, rest)
	s, err := config.ParseSettings(string(role), []byte(raw), role)
	assert.NilError(f.t, err)
	return s
}

// runner is an entry or an agent.
type runner interface {
	Run(ctx context.Context) error
}

func (f *testFleet) start(r runner) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		assert.NilError(f.t, <-done)
	})
}

func (f *testFleet) publish() {
	sum := sha256.Sum256([]byte("key"))
	p := &chestnutstep.Publication{
		Version: 1,
		Domains: []chestnutstep.Domain{{Name: "a", Region: "r"}},
		Hosts:   []chestnutstep.Host{{Name: "h", Domain: "a", HasEntry: true}},
		Models: []chestnutstep.Model{
			{Name: "label", Kind: chestnutstep.KindEngine, Floor: 4, Slots: 8, QueueLimit: 8, ColdCap: 4, DoneMarker: "event: done"},
		},
		Targets: []chestnutstep.Target{{Name: "label-1", Host: "h", Model: "label", Agent: f.agentAddr}},
		Profiles: []chestnutstep.Profile{{
			Name: "quick", Model: "label", Class: "urgent", Timeout: chestnutstep.Duration(20 * time.Second), MaxAttempts: 1, ExpectedTokens: 5, MaxBodyBytes: 1 << 16,
		}},
		Workspaces: []chestnutstep.Workspace{{Name: "prairie", Keys: []string{hex.EncodeToString(sum[:])}}},
		Budget:     chestnutstep.Budget{ReadRate: 100, RetryRatio: 0.1},
	}
	assert.NilError(f.t, config.Check(p))
	root, parts := config.Pack(p)
	for hash, raw := range parts {
		f.platform.Put("chestnut/part/"+hash, raw)
	}
	f.platform.Put("chestnut/root", root)
}

func (f *testFleet) waitReady(admin string) {
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		rs, err := http.Get("http://" + admin + "/ready")
		if err != nil {
			return poll.Continue("%v", err)
		}
		rs.Body.Close()
		if rs.StatusCode != http.StatusOK {
			return poll.Continue("status %d", rs.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// TestWholePathUnderTLS guards against failures of the complete request path in a production setup:
// a caller over HTTPS, mutual TLS between entry and agent, and the publication from the platform.
func TestWholePathUnderTLS(t *testing.T) {
	f := newTestFleet(t)
	f.request()
}

// request sends a request on a connection of its own and returns the serial number of the entry's
// certificate.
func (f *testFleet) request() string {
	t := f.t
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{RootCAs: f.roots}, DisableKeepAlives: true,
	}}
	rq, err := http.NewRequest(http.MethodPost, "https://"+f.callersAddr+"/v1/chat", strings.NewReader(`{"prompt":8,"output":4}`))
	assert.NilError(t, err)
	rq.Header.Set("Authorization", "Bearer key")
	rq.Header.Set(chestnutstep.HeaderProfile, "quick")
	rs, err := client.Do(rq)
	assert.NilError(t, err)
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	assert.NilError(t, err)
	assert.Equal(t, rs.StatusCode, http.StatusOK, "%s", body)
	assert.Assert(t, strings.Contains(string(body), "event: done"), "%s", body)
	return rs.TLS.PeerCertificates[0].SerialNumber.String()
}

// TestRotatedCertificatesAreUsedWithoutRestart guards against a process that uses its old
// certificates until a restart, and rejects callers once they have expired although operators have
// replaced the files.
func TestRotatedCertificatesAreUsedWithoutRestart(t *testing.T) {
	f := newTestFleet(t)
	old := f.request()
	f.issue("door")
	f.issue(string(config.RoleEntry))
	f.issue(string(config.RoleAgent))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.request() == old {
			return poll.Continue("the old certificate is still in use")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// TestUntrustedClientCantReachAgent guards against a foreign process on the operators' network that
// connects to agents. Without a certificate of the fleet's authority, it could run actions in the
// name of any workspace.
func TestUntrustedClientCantReachAgent(t *testing.T) {
	f := newTestFleet(t)
	other, err := fake.NewAuthority()
	assert.NilError(t, err)
	untrusted, err := other.Issue(t.TempDir(), "stranger", ownHost)
	assert.NilError(t, err)
	// The untrusted client trusts the fleet's authority, so that only the agent's check of the
	// client certificate can reject it.
	files := &cert.Files{Cert: untrusted.Cert, Key: untrusted.Key, CA: f.issue("trusted").CA}
	assert.NilError(t, files.Load())
	pool := &dial.Pool{Credentials: files.Credentials()}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	assert.Assert(t, pool.Connect(ctx, f.agentAddr) != nil)
	own := f.issue("own")
	trusted := &cert.Files{Cert: own.Cert, Key: own.Key, CA: own.CA}
	assert.NilError(t, trusted.Load())
	pool = &dial.Pool{Credentials: trusted.Credentials()}
	ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, pool.Connect(ctx, f.agentAddr))
}
