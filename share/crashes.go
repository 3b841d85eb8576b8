package share

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// crashesPerReport bounds the crashes of one datagram.
	crashesPerReport = 48
	// crashBytes is the most that a crash takes in a datagram.
	crashBytes = 24
	// crashRate and crashBurst bound the bytes of these datagrams, a second and at once: together with
	// the rounds they keep to what a node may spend on control. Many targets that end at
	// once would otherwise be reported by each entry to eight others.
	crashRate  = 2000.0
	crashBurst = 32000.0
	// missedFor is for how long after a start, or the end of a cut, an entry asks those to whom it
	// reports for what it missed: several rounds, as datagrams may be lost.
	missedFor = 300 * time.Millisecond
)

// noteHeard notes that a datagram came. The first after a silence ends a cut. The caller holds
// the lock.
func (p *Peers) noteHeard(now clock.Stamp) {
	if now.Sub(p.heardAt) > liveFor {
		p.missedUntil = now.Add(missedFor)
	}
	p.heardAt = now
}

// SpreadCrashes reports crashes at once, to as many peers as one round reaches, drawn at random.
// Each of them that did not know them does the same: the repeat of a request that ends targets
// may come to any entry within a second, and the rounds of a large fleet take several.
func (p *Peers) SpreadCrashes(now clock.Stamp, list []Crash) {
	p.sendCrashes(now, list, p.draw(now, fanout)...)
}

// ForwardCrashes reports crashes that a peer reported, where one round does not reach all entries.
func (p *Peers) ForwardCrashes(now clock.Stamp, list []Crash) {
	if to := p.draw(now, fanout+1); len(to) > fanout {
		p.sendCrashes(now, list, to[:fanout]...)
	}
}

// sendCrashes sends datagrams that have nothing but crashes, as far as their budget goes. What does not
// go out comes with the rounds.
func (p *Peers) sendCrashes(now clock.Stamp, list []Crash, to ...netip.AddrPort) {
	for len(list) > 0 {
		n := min(len(list), crashesPerReport)
		for _, a := range to {
			if r, ok := p.crashReport(now, list[:n]); ok {
				p.sendPartial(r, a)
			}
		}
		list = list[n:]
	}
}

// crashReport numbers a report of crashes; false says that the budget for them is spent.
func (p *Peers) crashReport(now clock.Stamp, list []Crash) (*Report, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashBytes = min(p.crashBytes+crashRate*now.Sub(p.crashAt).Seconds(), crashBurst)
	p.crashAt = now
	if p.crashBytes <= 0 {
		return nil, false
	}
	p.crashBytes -= float64(overhead + crashBytes*len(list))
	p.number++
	return &Report{From: p.Self, Run: p.Run, Number: p.number, Crashes: list, Partial: true, Age: -1}, true
}

// draw returns at most n live peers at random.
func (p *Peers) draw(now clock.Stamp, n int) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []netip.AddrPort
	for a, x := range p.peers {
		if x.live(now) {
			list = append(list, a)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), n)]
}
