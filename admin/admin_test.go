package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/audit"
)

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(raw)
}

// TestReadyAndLive guards against a stopping process that the platform's balancer handles
// wrongly. /ready must fail while the process still accepts work, or callers connect to a
// closed port; /live must succeed, or the platform kills the process while it completes
// requests.
func TestReadyAndLive(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var ready error
	trail := &audit.Trail{}
	trail.Add(audit.Record{Kind: audit.KindOrder, Subject: "t"})
	trail.Add(audit.Record{Kind: audit.KindOrder, Subject: "u"})
	s := &Server{
		Listener: l,
		Ready:    func() error { return ready },
		Status:   func() Status { return Status{Process: "e1"} },
		Audit:    trail,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	url := "http://" + l.Addr().String()
	code, _ := get(t, url+"/ready")
	assert.Equal(t, code, http.StatusOK)

	ready = errors.New("leaving")
	code, text := get(t, url+"/ready")
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Equal(t, text, "leaving\n")
	code, _ = get(t, url+"/live")
	assert.Equal(t, code, http.StatusOK)

	st, err := FetchStatus(ctx, l.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, st.Process, "e1")
	all, err := FetchAudit(ctx, l.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, len(all), 2)
	assert.NilError(t, audit.Verify(st.Changes), "the chain holds after JSON")
	_, text = get(t, url+"/audit?last=1")
	var records []audit.Record
	assert.NilError(t, json.Unmarshal([]byte(text), &records))
	assert.Equal(t, records[0].Subject, "u")
	assert.Assert(t, IsErrResponse(fetchJSON(ctx, l.Addr().String(), "/audit?last=-1", &records)))
	cancel()
	assert.NilError(t, <-done)
}

func testView() *chestnutstep.View {
	return chestnutstep.NewView(&chestnutstep.Publication{
		Domains: []chestnutstep.Domain{{Name: "a", Region: "r"}, {Name: "b", Region: "r", Out: true}},
		Hosts:   []chestnutstep.Host{{Name: "a1", Domain: "a"}, {Name: "a2", Domain: "a", Out: true}, {Name: "b1", Domain: "b"}},
		Targets: []chestnutstep.Target{
			{Name: "busy", Host: "a1", Model: "plan"},
			{Name: "full", Host: "a1", Model: "plan"},
			{Name: "cold", Host: "a1", Model: "plan"},
			{Name: "leaving", Host: "a1", Model: "plan"},
			{Name: "silent", Host: "a1", Model: "plan"},
			{Name: "idle", Host: "a2", Model: "plan"},
			{Name: "gone", Host: "b1", Model: "plan"},
		},
	})
}

// TestPage guards against a target without work whose reason is not shown: operators would
// restart targets that have no fault.
func TestPage(t *testing.T) {
	loads := map[string]*chestnutstep.Load{
		"busy":    {Running: 3, Waiting: 1, Cap: 4, Weight: 1},
		"full":    {Running: 4, Cap: 4, Weight: 1},
		"cold":    {Running: 1, Cap: 1, Cold: true, Weight: 0.25},
		"leaving": {Running: 2, Cap: 4, Leaving: true},
	}
	v := testView()
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := Status{
		Process: "entry-1", Role: "entry", Host: "a9", Domain: "a", Region: "r", Started: now.Add(-time.Hour),
		NotReadyReason: "stopping",
		NoPeers:        true,
		Publication:    Publication{Version: 7, PlatformUnresponsive: true, Since: now.Add(-time.Minute), RefusedVersion: 8, RefusalReason: "hosts[0]: no domain"},
		Domains: TargetsByDomain(v, func(t *chestnutstep.Target) Target {
			l := loads[t.Name]
			return Target{Name: t.Name, Host: t.Host, Model: t.Model, Load: l, NoWorkReason: NoWorkReason(v, t, l, l != nil)}
		}),
		Suspects: []Suspect{{Content: "00ff", CrashedTargets: []string{"busy"}}, {Content: "11", Condemned: true, CrashedTargets: []string{"busy", "full"}}},
		Changes:  []audit.Record{{Seq: 4, Time: now, Version: 7, Kind: audit.KindDomain, Subject: "b", Before: "in", After: "out", Cause: "publication 7"}},
	}
	var b bytes.Buffer
	assert.NilError(t, s.WriteText(&b, now))
	golden.Assert(t, b.String(), "page.golden")
}
