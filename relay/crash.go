package relay

import (
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// crashMost is after how many broken runs at different targets a content is
	// refused: two may be chance, a third target is not risked for it.
	crashMost = 2
	// crashKeep is how long a broken run counts.
	crashKeep = 60 * time.Second
	// contentsMost bounds the contents that are remembered.
	contentsMost = 2048
	// retryCondemned is when a refused content may come back.
	retryCondemned = 10 * time.Second
)

// Crashes remembers which contents were running when a target's connection
// broke. A content that crashes each target which runs it, sent again and again
// by its caller, would take a whole service down: it shows as targets that turn
// cold one after the other. It is safe for concurrent use.
type Crashes struct {
	mu    sync.Mutex
	cases map[uint64]*content
	news  []share.Crash
}

type content struct {
	targets []uint32
	seen    clock.Stamp
}

// Condemned says that the content broke too many targets.
func (c *Crashes) Condemned(now clock.Stamp, mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.cases[mark]
	if x == nil {
		return false
	}
	if now.Sub(x.seen) > crashKeep {
		delete(c.cases, mark)
		return false
	}
	return len(x.targets) >= crashMost
}

// Served clears a content: it ran to its end.
func (c *Crashes) Served(_ clock.Stamp, mark uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cases, mark)
}

// Broke notes that a target's connection broke while it ran the content.
func (c *Crashes) Broke(now clock.Stamp, mark uint64, target uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.add(now, mark, target) {
		c.news = append(c.news, share.Crash{Target: target, Fingerprint: mark})
	}
}

// Learn takes a peer's word.
func (c *Crashes) Learn(now clock.Stamp, list []share.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range list {
		c.add(now, x.Fingerprint, x.Target)
	}
}

// crashesTold bounds what one datagram tells.
const crashesTold = 8

// Tell returns news for the peers.
func (c *Crashes) Tell() []share.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.news), crashesTold)
	list := c.news[:n:n]
	c.news = c.news[n:]
	return list
}

func (c *Crashes) add(now clock.Stamp, mark uint64, target uint32) bool {
	if c.cases == nil {
		c.cases = make(map[uint64]*content)
	}
	x := c.cases[mark]
	if x == nil {
		if len(c.cases) >= contentsMost {
			clear(c.cases)
		}
		x = &content{}
		c.cases[mark] = x
	}
	x.seen = now
	for _, t := range x.targets {
		if t == target {
			return false
		}
	}
	x.targets = append(x.targets, target)
	return true
}
