package share

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// maxCrashesPerReport bounds the crashes of one datagram.
	maxCrashesPerReport = 48
	// maxCrashSize is the most that a crash takes in a datagram.
	maxCrashSize = 24
	// crashRate and crashBurst bound the bytes of these datagrams, a second and at once: together with
	// the rounds they keep to what a node may spend on control. Many targets that end at
	// once would otherwise be reported by each entry to eight others.
	crashRate  = 2000.0
	crashBurst = 32000.0
	// catchUpWindow is for how long after a start, or the end of a cut, an entry asks those to whom it
	// reports for what it missed: several rounds, as datagrams may be lost.
	catchUpWindow = 300 * time.Millisecond
)

// recordReceived notes that a datagram came. The first after a silence ends a cut. The caller holds
// the lock.
func (p *Peers) recordReceived(now clock.Stamp) {
	if now.Sub(p.lastReceived) > livenessTimeout {
		p.catchUpUntil = now.Add(catchUpWindow)
	}
	p.lastReceived = now
}

// SendCrashes reports crashes at once, to as many peers as one round reaches, drawn at random.
// Each of them that did not know them does the same: the repeat of a request that ends targets
// may come to any entry within a second, and the rounds of a large fleet take several.
func (p *Peers) SendCrashes(now clock.Stamp, list []Crash) {
	p.sendCrashReports(now, list, p.randomPeers(now, maxFanout)...)
}

// ForwardCrashes reports crashes that a peer reported, where one round does not reach all entries.
func (p *Peers) ForwardCrashes(now clock.Stamp, list []Crash) {
	if to := p.randomPeers(now, maxFanout+1); len(to) > maxFanout {
		p.sendCrashReports(now, list, to[:maxFanout]...)
	}
}

// sendCrashReports sends datagrams that have nothing but crashes, as far as their budget goes. What does not
// go out comes with the rounds.
func (p *Peers) sendCrashReports(now clock.Stamp, list []Crash, to ...netip.AddrPort) {
	for len(list) > 0 {
		n := min(len(list), maxCrashesPerReport)
		for _, a := range to {
			if r, ok := p.newCrashReport(now, list[:n]); ok {
				p.sendPartial(r, a)
			}
		}
		list = list[n:]
	}
}

// newCrashReport numbers a report of crashes; false says that the budget for them is spent.
func (p *Peers) newCrashReport(now clock.Stamp, list []Crash) (*Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashBudget = min(p.crashBudget+crashRate*now.Sub(p.crashBudgetAt).Seconds(), crashBurst)
	p.crashBudgetAt = now
	if p.crashBudget <= 0 {
		return nil, false
	}
	p.crashBudget -= float64(packetOverhead + maxCrashSize*len(list))
	p.sequence++
	return &Report{From: p.Self, Incarnation: p.Incarnation, Sequence: p.sequence, Crashes: list, Partial: true, Age: -1}, true
}

// randomPeers returns at most n live peers at random.
func (p *Peers) randomPeers(now clock.Stamp, n int) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []netip.AddrPort
	for a, x := range p.peers {
		if x.isLive(now) {
			list = append(list, a)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), n)]
}
