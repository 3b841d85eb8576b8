package soak

import (
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

const (
	endlessMemoryMb = 284
	endlessCallers  = 120
	endlessTime     = 3 * time.Second
	endlessDeadline = 3 * time.Second
)

// endlessPlay plays callers at one entry, one of whose three targets sends bytes without end.
type endlessPlay struct {
	entry *entry
	end   time.Time

	mu       sync.Mutex
	statuses map[int]int
}

// TestEndlessAnswersStayWithinMemory guards against an entry that is killed for its memory, or holds requests until their
// deadline, as a target sends bytes without end: as answers, or to all that it is asked, health checks and lists included.
func TestEndlessAnswersStayWithinMemory(t *testing.T) {
	program := filepath.Join(t.TempDir(), "chestnutstep")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/chestnutstep").CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, behaviour := range []stand.Behaviour{stand.EndlessHead, stand.EndlessInterim, stand.EndlessBody, stand.EndlessEvent, stand.EndlessTrailer} {
		for _, isEverything := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%t", behaviour, isEverything), func(t *testing.T) {
				address, stop := startEndless(t, behaviour, isEverything)
				defer stop()
				p := &endlessPlay{statuses: make(map[int]int)}
				peak := p.play(t, &Soak{Program: program, Dir: t.TempDir(), MemoryMb: endlessMemoryMb}, address)
				t.Logf("peak %d of %d MB, statuses %v", peak>>20, endlessMemoryMb, p.statuses)
				assert.Assert(t, peak <= endlessMemoryMb<<20, "peak %d MB", peak>>20)
				assert.Assert(t, p.statuses[http.StatusOK] > 0, "%v", p.statuses)
				assert.Equal(t, p.statuses[http.StatusGatewayTimeout], 0, "%v", p.statuses)
				assert.Equal(t, p.statuses[0], 0, "no answer: %v", p.statuses)
			})
		}
	}
}

// startEndless starts a target that sends bytes without end in its answers, or to everything.
func startEndless(t *testing.T, behaviour stand.Behaviour, isEverything bool) (address string, stop func()) {
	t.Helper()
	if isEverything {
		s, err := stand.NewEndlessServer(behaviour)
		assert.NilError(t, err)
		return s.Address(), s.Close
	}
	x := stand.NewTarget("i-0")
	x.SetBehaviour(behaviour)
	return x.Address(), x.Close
}

// play returns the most memory that the entry had.
func (p *endlessPlay) play(t *testing.T, s *Soak, address string) (peak int64) {
	s.store = stand.NewStore()
	var routes []any
	for _, kind := range []string{"safe", "unsafe", "stream"} {
		routes = append(routes, map[string]any{
			"name": kind, "host": "soak.example", "prefix": "/" + kind + "/", "type": kind, "service": "s", "resumable": kind == "stream",
			"timeoutMs": uploadTimeout.Milliseconds(), "latencyTargetMs": bodyObjective.Milliseconds(), "maxAttempts": 2,
		})
	}
	s.store.Put("op/config", map[string]any{
		"version": 1, "routes": routes,
		"services": []any{map[string]any{"name": "s", "healthPath": "/healthz", "maxConnections": 400}},
		"limits":   map[string]any{"maxBodyBytes": 4 << 20, "maxHeaderBytes": 64 << 10},
		"tenants":  []any{map[string]any{"name": "ws", "apiKeys": []string{"key"}}},
	})
	for i := range 3 {
		if i > 0 {
			x := stand.NewTarget(fmt.Sprintf("i-%d", i))
			x.Framing = stand.ByClose // so that there are witnesses
			defer x.Close()
			address = x.Address()
		}
		s.store.PutTarget(fmt.Sprintf("i-%d", i), stand.TargetEntry{
			Service: "s", Address: address, Zone: "z", Slots: 400, State: "ready", BornMs: time.Now().UnixMilli(), Version: "1",
		})
	}
	e, err := s.newEntry(0, "")
	assert.NilError(t, err)
	defer e.storeServer.Close()
	defer e.kill()
	assert.NilError(t, e.waitReady())
	p.entry, p.end = e, time.Now().Add(endlessTime)
	var all sync.WaitGroup
	for i := range endlessCallers {
		all.Go(func() { p.call(i) })
	}
	for time.Now().Before(p.end) {
		peak = max(peak, e.residentBytes())
		time.Sleep(5 * time.Millisecond)
	}
	all.Wait()
	assert.Assert(t, !e.waitExit(0), "the entry has ended")
	return peak
}

// call sends one request after the other, each on a new connection.
func (p *endlessPlay) call(number int) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; time.Now().Before(p.end); n++ {
		kind := []string{"safe", "unsafe", "stream/stream"}[(number+n)%3]
		r, err := http.NewRequest(http.MethodPost, "http://"+p.entry.frontendAddr+"/"+kind+"/x", strings.NewReader("body"))
		if err != nil {
			return
		}
		r.Host = "soak.example"
		r.Header.Set("Attempt-Id", fmt.Sprintf("%d-%d", number, n))
		r.Header.Set("Credential", "key")
		r.Header.Set("Deadline-Ms", fmt.Sprint(endlessDeadline.Milliseconds()))
		status := 0
		if resp, err := client.Do(r); err == nil {
			status = resp.StatusCode
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		p.mu.Lock()
		p.statuses[status]++
		p.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}
