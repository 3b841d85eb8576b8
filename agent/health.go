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
	// probeEvery is how often the target is asked for its boot id: a restart
	// with no request running is noticed within this time.
	probeEvery = time.Second
	// probeLimit is how long a probe may take. A target that hangs longer is
	// slow, not dead: only a refused connection or a new boot id is a crash.
	probeLimit = 500 * time.Millisecond
)

// health is what the agent knows of the target's life. Guarded by Agent.mu.
type health struct {
	boot string
	down bool
	// heard says that the target has answered since this agent's start.
	heard bool
	// cold is what the target last said of itself.
	cold bool
	// crashes counts deaths with requests running.
	crashes int
}

// report is the target's own load report, which lags.
type report struct {
	Boot    string `json:"boot"`
	Running int    `json:"running"`
	Cold    bool   `json:"cold"`
}

func (h *health) loop(ctx context.Context, a *Agent) {
	tick := time.NewTicker(probeEvery)
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
	a.probing.Lock()
	defer a.probing.Unlock()
	r, err := a.probe()
	if isDropped(err) {
		// Once may be a connection that broke by itself.
		r, err = a.probe()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	switch {
	case err == nil:
		h.alive(now, a, r.Boot)
		h.noteCold(now, a, r.Cold)
	case isRefused(err) || isDropped(err):
		h.dead(now, a)
	}
	a.advance(now)
}

// probe asks the target for its boot id.
func (a *Agent) probe() (report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeLimit)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, a.URL+"/control/load", nil)
	if err != nil {
		return report{}, errors.Wrap(err, "probe")
	}
	rs, err := a.Single.Do(rq)
	if err != nil {
		return report{}, errors.Wrap(err, "probe")
	}
	defer rs.Body.Close()
	var r report
	// A plain service may know no such path: that it answers is enough.
	_ = json.NewDecoder(rs.Body).Decode(&r)
	if boot := rs.Header.Get(chestnutstep.HeaderBootID); boot != "" {
		r.Boot = boot
	}
	return r, nil
}

// noteCold notices a target that turned cold without restarting. Only the change
// counts: the report lags, and says cold for a while after the target has
// proven warm.
func (h *health) noteCold(now time.Time, a *Agent, cold bool) {
	turned := cold && !h.cold
	h.cold = cold
	if !turned {
		return
	}
	a.turn(eventChill)
	a.chats.clear()
	a.Gate.MarkCold(now)
	a.Notify(Notice{Kind: NoticeCold, Subject: a.Name, Before: h.boot, After: h.boot})
}

// seen takes the boot id from a job's answer. One that began before the target's
// last death is late: taken as news, its old id would look like one more
// restart, and what runs now would be suspected of it.
func (h *health) seen(j *job, boot string) {
	if boot == "" {
		return
	}
	a := j.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.crashes == h.crashes {
		h.alive(a.Clock(), a, boot)
	}
}

func (h *health) alive(now time.Time, a *Agent, boot string) {
	wasDown := h.down
	h.down, h.heard = false, true
	if a.life == lifeStarting || a.life == lifeDown {
		a.turn(eventReady)
	}
	if wasDown {
		a.Notify(Notice{Kind: NoticeUp, Subject: a.Name, After: boot})
	}
	if boot == h.boot && !wasDown {
		return
	}
	if h.boot != "" && !wasDown {
		// It restarted between two probes: what was running died with it.
		a.turn(eventChill)
		h.crashed(now, a)
	}
	before := h.boot
	h.boot = boot
	h.cold = true
	a.chats.clear()
	a.Gate.MarkCold(now)
	a.Notify(Notice{Kind: NoticeCold, Subject: a.Name, Before: before, After: boot})
}

func (h *health) dead(now time.Time, a *Agent) {
	if h.down {
		return
	}
	h.down = true
	a.turn(eventLost)
	a.Notify(Notice{Kind: NoticeDown, Subject: a.Name, Before: h.boot})
	h.crashed(now, a)
}

// crashed makes what was running suspect: one of these requests may have
// killed the target, and its caller will send it again.
func (h *health) crashed(now time.Time, a *Agent) {
	h.crashes++
	a.chats.clear()
	a.Notify(Notice{Kind: NoticeCrash, Subject: a.Name, Before: h.boot})
	for _, s := range a.Detector.Crash(now) {
		kind := NoticeSuspect
		if a.Detector.Check(now, s.Fingerprint) == chestnutstep.ContentCondemned {
			kind = NoticeCondemned
		}
		a.Notify(Notice{Kind: kind, Subject: number(s.Fingerprint), Reason: chestnutstep.ReasonCrashed})
	}
}

// isRefused says that nothing listens at the target's address: on the same
// host that is certain, unlike a probe that takes too long.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isDropped says that the target's address took the connection and closed it
// without a word: what listens there is not the target that was running, but
// what restarts it. Waiting for a clear answer would let the request that
// killed it go unsuspected to the next target, and the next.
func isDropped(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}
