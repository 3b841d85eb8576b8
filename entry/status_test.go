package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
)

// TestRefusals guards against refusals without a status, a stable code, the run status and, where a
// retry makes sense, the time to wait.
func TestRefusals(t *testing.T) {
	p := newCluster(t)
	p.pub.Profiles = append(p.pub.Profiles,
		chestnutstep.Profile{Name: "small", Model: "label", Class: "batch", Timeout: chestnutstep.Duration(time.Second), MaxAttempts: 1, MaxBodyBytes: 8},
		chestnutstep.Profile{Name: "nowhere", Model: "none", Class: "batch", Timeout: chestnutstep.Duration(time.Second), MaxAttempts: 1, MaxBodyBytes: 8},
	)
	p.pub.Workspaces = append(p.pub.Workspaces,
		chestnutstep.Workspace{Name: "slow", Keys: []string{hash("s")}, Rate: 0.001, Burst: 1})
	p.publish()
	const key, profile = "Authorization", chestnutstep.HeaderProfile
	ask := `{"prompt":1,"output":1}`
	for _, c := range []struct {
		name    string
		body    string
		headers []string
		status  int
		parts   []string
		back    bool
	}{
		{"unknown key", ask, []string{key, "Bearer nobody", profile, "quick"}, 401, []string{`"key"`}, false},
		{"no key", ask, []string{key, "", profile, "quick"}, 401, []string{`"key"`}, false},
		{"no profile", ask, nil, 400, []string{`"header"`, profile}, false},
		{"unknown profile", ask, []string{profile, "x"}, 404, []string{`"profile"`, "x"}, false},
		{"malformed time limit", ask, []string{profile, "quick", chestnutstep.HeaderTimeout, "soon"}, 400, []string{chestnutstep.HeaderTimeout}, false},
		{"time limit below zero", ask, []string{profile, "quick", chestnutstep.HeaderTimeout, "-1s"}, 400, []string{chestnutstep.HeaderTimeout}, false},
		{"long chat", ask, []string{profile, "quick", chestnutstep.HeaderChat, strings.Repeat("c", 300)}, 400, []string{chestnutstep.HeaderChat}, false},
		{"large body", ask, []string{profile, "small"}, 413, []string{`"large"`}, false},
		{"no target", "{}", []string{profile, "nowhere"}, 503, []string{`"target"`}, true},
		{"forged ticket", "{}", []string{profile, "book", chestnutstep.HeaderTicket, "t"}, 400, []string{`"forged"`}, false},
		{"no ticket", "{}", []string{profile, "book"}, 428, []string{`"ticket"`}, false},
		{"first within the rate", ask, []string{key, "Bearer s", profile, "quick"}, 200, nil, false},
		{"second over the rate", ask, []string{key, "Bearer s", profile, "quick"}, 429, []string{`"rate"`}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			rs, body := p.send(0, "/v1/chat", c.body, c.headers...)
			assert.Equal(t, rs.StatusCode, c.status, body)
			for _, part := range c.parts {
				assert.Assert(t, strings.Contains(body, part), "%s in %s", part, body)
			}
			assert.Equal(t, rs.Header.Get("Retry-After") != "", c.back)
			if c.status != http.StatusOK {
				assert.Equal(t, rs.Header.Get("Content-Type"), "application/problem+json")
				assert.Assert(t, rs.Header.Get(chestnutstep.HeaderRun) != "yes")
			}
		})
	}
}

// TestUnreadTicketRequestIsNotReportedNotRun guards against "not run" for a booking that is running. It
// comes about when a caller retries the booking and the retry lacks a header or has a revoked key;
// with "not run", the caller would book again.
func TestUnreadTicketRequestIsNotReportedNotRun(t *testing.T) {
	p := newCluster(t)
	for _, headers := range [][]string{
		{"Authorization", "Bearer nobody", chestnutstep.HeaderProfile, "book"},
		{chestnutstep.HeaderProfile, "x"},
		{chestnutstep.HeaderProfile, "book", chestnutstep.HeaderTimeout, "soon"},
		{chestnutstep.HeaderProfile, "book"},
	} {
		rs, body := p.send(0, "/bookings", "{}", append(headers, chestnutstep.HeaderTicket, "t")...)
		assert.Assert(t, rs.StatusCode >= 400, body)
		assert.Equal(t, rs.Header.Get(chestnutstep.HeaderRun), "maybe", body)
	}
}

// TestTimeLimit guards against a caller that waits beyond its own time limit for an engine that
// hangs, and against "not run" in the answer although the engine may have run the request.
func TestTimeLimit(t *testing.T) {
	p := newCluster(t)
	rs, err := http.Post(p.targets[0]+"/control/fault", "application/json", strings.NewReader(`{"hang": true}`))
	assert.NilError(t, err)
	rs.Body.Close()
	rs, body := p.send(0, "/v1/chat", `{"prompt":1,"output":1}`,
		chestnutstep.HeaderProfile, "quick", chestnutstep.HeaderTimeout, "300ms")
	assert.Equal(t, rs.StatusCode, 504, body)
	assert.Equal(t, rs.Header.Get(chestnutstep.HeaderRun), "maybe")
	assert.Assert(t, rs.Header.Get("Retry-After") != "")
}

// TestShortStreamIsAborted guards against a partial answer that appears complete. An engine
// closes its connection cleanly within the answer, which in HTTP looks like its end.
func TestShortStreamIsAborted(t *testing.T) {
	p := newCluster(t)
	rs, err := http.Post(p.targets[0]+"/control/fault", "application/json", strings.NewReader(`{"short": 3}`))
	assert.NilError(t, err)
	rs.Body.Close()
	rq, err := http.NewRequest(http.MethodPost, p.entries[0].URL+"/v1/chat", strings.NewReader(`{"prompt":1,"output":50}`))
	assert.NilError(t, err)
	rq.Header.Set("Authorization", "Bearer k")
	rq.Header.Set(chestnutstep.HeaderProfile, "quick")
	rs, err = http.DefaultClient.Do(rq)
	assert.NilError(t, err)
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, strings.Contains(string(body), "event: error"), "%s", body)
	assert.Assert(t, strings.Contains(string(body), `"code":"short"`), "%s", body)
}

// TestCutAnswerOfOldCallerIsReset guards against a cut answer that looks whole to a caller of HTTP/1.0, for which
// it ends with its connection.
func TestCutAnswerOfOldCallerIsReset(t *testing.T) {
	p := newCluster(t)
	assert.NilError(t, p.readAsOldCaller())
	rs, err := http.Post(p.targets[0]+"/control/fault", "application/json", strings.NewReader(`{"short": 3}`))
	assert.NilError(t, err)
	rs.Body.Close()
	assert.ErrorIs(t, p.readAsOldCaller(), syscall.ECONNRESET)
}

// readAsOldCaller requests an answer by HTTP/1.0 and returns the error at its end.
func (p *cluster) readAsOldCaller() error {
	c, err := net.Dial("tcp", p.entries[0].Listener.Addr().String())
	assert.NilError(p.t, err)
	defer c.Close()
	body := `{"prompt":1,"output":50}`
	fmt.Fprintf(c, "POST /v1/chat HTTP/1.0\r\nAuthorization: Bearer k\r\n%s: quick\r\nContent-Length: %d\r\n\r\n%s", chestnutstep.HeaderProfile, len(body), body)
	_, err = io.Copy(io.Discard, c)
	return err
}
