package relay

import (
	"fmt"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/share"
)

// retryCondemned is when a refused content may come back.
const retryCondemned = 10 * time.Second

// Crashes detects contents that crash targets. Without agents nobody sees a target die: a
// connection that breaks while a target runs a content counts as its crash. It is
// safe for concurrent use.
type Crashes struct {
	// Log receives a line for each crash that is noted; nil for none.
	Log *event.Log

	mu       sync.Mutex
	detector crash.Detector
	news     []share.Crash
}

// Quarantined says that the content broke too many targets.
func (c *Crashes) Quarantined(now time.Time, content uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detector.Judge(now, content) == chestnutstep.Condemned
}

// Served clears a content: it ran to its end.
func (c *Crashes) Served(now time.Time, content uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detector.End(now, content, true)
}

// Record notes that a target's connection broke while it ran the content.
func (c *Crashes) Record(now time.Time, content uint64, target uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	news := share.Crash{Target: target, Fingerprint: content}
	c.note(now, news, "own")
	if len(c.news) < newsMost {
		c.news = append(c.news, news)
	}
}

// newsMost bounds what waits to be reported: a target that dies breaks as many
// connections as it has requests.
const newsMost = 256

// Merge takes a peer's word.
func (c *Crashes) Merge(now time.Time, list []share.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range list {
		c.note(now, x, "peer")
	}
}

// note takes one crash, and logs what that makes of the content.
func (c *Crashes) note(now time.Time, x share.Crash, from string) {
	c.detector.Learn(now, []chestnutstep.Suspicion{suspicion(now, x)})
	c.Log.Emit(event.CrashNoted,
		event.Uint("content", x.Fingerprint), event.Str("target", fmt.Sprintf("%08x", x.Target)), event.Str("from", from),
		event.Str("judged", c.detector.Judge(now, x.Fingerprint).String()))
}

func suspicion(now time.Time, x share.Crash) chestnutstep.Suspicion {
	return chestnutstep.Suspicion{Fingerprint: x.Fingerprint, Crashed: []string{fmt.Sprintf("%08x", x.Target)}, Seen: now}
}

// News returns the crashes since the last call.
func (c *Crashes) News() []share.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.news
	c.news = nil
	return list
}
