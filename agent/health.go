package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

const (
	// probeInterval is the interval between probes of the target's boot id. A restart while no
	// request is running is detected within this time.
	probeInterval = time.Second
	// probeTimeout is the timeout of a probe. A target that doesn't answer in this time is slow,
	// not crashed: only a refused or dropped connection or a new boot id counts as a crash.
	probeTimeout = 500 * time.Millisecond
	// loadPath is the path of the target's load report.
	loadPath = "/control/load"
	// maxControlBytes limits the size of a load report or of a list of cache events in bytes.
	maxControlBytes = 1 << 20
)

// health is the state of the target according to its probes and answers. It is guarded by Agent.mu.
type health struct {
	bootID string
	isDown bool
	// hasAnswered is set once the target has answered since this agent started.
	hasAnswered bool
	// reportedCold is the cold flag of the target's last load report.
	reportedCold bool
	// crashCount is the number of crashes of the target since this agent started.
	crashCount int
}

// loadReport is the target's own load report, which lags behind its actual state.
type loadReport struct {
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Cold    bool   `json:"cold"`
}

func (h *health) loop(ctx context.Context, a *Agent) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	h.check(a)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.check(a)
		}
	}
}

// check probes the target once and updates its state. Probes run one at a time: otherwise several
// jobs that fail together would count one crash several times.
func (h *health) check(a *Agent) {
	a.probeMu.Lock()
	defer a.probeMu.Unlock()
	r, err := a.probe()
	if isConnDropped(err) {
		// A single dropped connection can be a fault of the connection, so probe again.
		r, err = a.probe()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	switch {
	case err == nil:
		h.markUp(now, a, r.Boot)
		h.updateCold(now, a, r.Cold)
	case isConnRefused(err) || isConnDropped(err):
		h.markDown(now, a)
	}
	a.dispatchQueue(now)
}

// probe requests the target's load report, which includes its boot id.
func (a *Agent) probe() (loadReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, a.URL+loadPath, nil)
	if err != nil {
		return loadReport{}, errors.Wrap(err, "probe")
	}
	rs, err := a.UnpooledClient.Do(rq)
	if err != nil {
		return loadReport{}, errors.Wrap(err, "probe")
	}
	defer rs.Body.Close()
	a.recordTargetState(rq, rs)
	var r loadReport
	// A plain service can lack this path; any answer shows that it is running.
	_ = json.NewDecoder(io.LimitReader(rs.Body, maxControlBytes)).Decode(&r)
	if boot := rs.Header.Get(chestnutstep.HeaderBootID); boot != "" {
		r.Boot = boot
	}
	return r, nil
}

// updateCold detects a target that turned cold without restarting. Only the transition counts: the
// report lags and stays cold for a while after the target has proven warm.
func (h *health) updateCold(now time.Time, a *Agent, cold bool) {
	becameCold := cold && !h.reportedCold
	h.reportedCold = cold
	if !becameCold {
		return
	}
	a.applyEvent(eventCold)
	a.chats.clear()
	a.Gate.MarkCold(now)
	a.Notify(Notice{Kind: NoticeCold, Subject: a.Name, Before: h.bootID, After: h.bootID})
}

// observeBoot applies the boot id of a job's answer. An answer to a job that started before the
// target's last crash is ignored: its old boot id would count as another restart, and the requests
// that are now running would become suspects.
func (h *health) observeBoot(j *job, boot string) {
	if boot == "" {
		return
	}
	a := j.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.crashesAtStart == h.crashCount {
		h.markUp(a.Clock(), a, boot)
	}
}

func (h *health) markUp(now time.Time, a *Agent, boot string) {
	wasDown := h.isDown
	h.isDown, h.hasAnswered = false, true
	if a.targetState == targetStarting || a.targetState == targetDown {
		a.applyEvent(eventReady)
	}
	if wasDown {
		a.Notify(Notice{Kind: NoticeUp, Subject: a.Name, After: boot})
	}
	if boot == h.bootID && !wasDown {
		return
	}
	if h.bootID != "" && !wasDown {
		// The target restarted between two probes, and its running requests were lost.
		a.applyEvent(eventCold)
		h.recordCrash(now, a)
	}
	before := h.bootID
	h.bootID = boot
	h.reportedCold = true
	a.chats.clear()
	a.Gate.MarkCold(now)
	a.Notify(Notice{Kind: NoticeCold, Subject: a.Name, Before: before, After: boot})
}

func (h *health) markDown(now time.Time, a *Agent) {
	if h.isDown {
		return
	}
	h.isDown = true
	a.applyEvent(eventDown)
	a.Notify(Notice{Kind: NoticeDown, Subject: a.Name, Before: h.bootID})
	h.recordCrash(now, a)
}

// recordCrash marks the requests that were running as suspects: one of them can have caused the
// crash, and its caller will retry it.
func (h *health) recordCrash(now time.Time, a *Agent) {
	h.crashCount++
	a.chats.clear()
	a.Notify(Notice{Kind: NoticeCrash, Subject: a.Name, Before: h.bootID})
	for _, s := range a.Detector.Crash(now) {
		kind := NoticeSuspect
		if a.Detector.Check(now, s.Fingerprint) == chestnutstep.ContentCondemned {
			kind = NoticeCondemned
		}
		a.Notify(Notice{Kind: kind, Subject: formatUint(s.Fingerprint), Reason: chestnutstep.ReasonCrashed})
	}
}

// isConnRefused reports whether the connection was refused, so that no process listens at the
// target's address. On the same host this is certain, unlike a probe that times out.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isConnDropped reports whether the connection was accepted and then closed without an answer. The
// listener is then not the target that was running but the supervisor that restarts it. This counts
// as a crash because the request that caused it would otherwise go to further targets without
// becoming a suspect.
func isConnDropped(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}
