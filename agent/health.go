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
	// probeInterval is how often the target is asked for its boot id: a restart
	// with no request running is noticed within this time.
	probeInterval = time.Second
	// probeTimeout is how long a probe may take. A target that hangs longer is
	// slow, not dead: only a refused connection or a new boot id is a crash.
	probeTimeout = 500 * time.Millisecond
)

// health is what the agent knows of the target's life. Guarded by Agent.mu.
type health struct {
	bootID string
	isDown bool
	// hasAnswered says that the target has answered since this agent's start.
	hasAnswered bool
	// reportedCold is what the target last said of itself.
	reportedCold bool
	// crashCount counts deaths with requests running.
	crashCount int
}

// loadReport is the target's own load report, which lags.
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

// check probes the target once and draws the consequences. One probe at a
// time: jobs that broke together must not count one crash several times.
func (h *health) check(a *Agent) {
	a.probeMu.Lock()
	defer a.probeMu.Unlock()
	r, err := a.probe()
	if isConnDropped(err) {
		// Once may be a connection that broke by itself.
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

// probe asks the target for its boot id.
func (a *Agent) probe() (loadReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, a.URL+"/control/load", nil)
	if err != nil {
		return loadReport{}, errors.Wrap(err, "probe")
	}
	rs, err := a.UnpooledClient.Do(rq)
	if err != nil {
		return loadReport{}, errors.Wrap(err, "probe")
	}
	defer rs.Body.Close()
	var r loadReport
	// A plain service may know no such path: that it answers is enough.
	_ = json.NewDecoder(rs.Body).Decode(&r)
	if boot := rs.Header.Get(chestnutstep.HeaderBootID); boot != "" {
		r.Boot = boot
	}
	return r, nil
}

// updateCold notices a target that turned cold without restarting. Only the change
// counts: the report lags, and says cold for a while after the target has
// proven warm.
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

// observeBoot takes the boot id from a job's answer. One that began before the target's
// last death is late: taken as news, its old id would look like one more
// restart, and what runs now would be suspected of it.
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
		// It restarted between two probes: what was running died with it.
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

// recordCrash makes what was running suspect: one of these requests may have
// killed the target, and its caller will send it again.
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

// isConnRefused says that nothing listens at the target's address: on the same
// host that is certain, unlike a probe that takes too long.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isConnDropped says that the target's address took the connection and closed it
// without a word: what listens there is not the target that was running, but
// what restarts it. Waiting for a clear answer would let the request that
// killed it go unsuspected to the next target, and the next.
func isConnDropped(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}
