package share

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// maxCrashesPerReport limits the crashes in one datagram.
	maxCrashesPerReport = 48
	// maxCrashSize is the maximum encoded size of a crash in bytes.
	maxCrashSize = 24
	// crashRate, in bytes per second, and crashBurst, in bytes, limit the datagrams that carry only
	// crashes. Together with the rounds they stay within the control traffic budget of a node.
	// Without the limit, each entry would report the crashes of many targets that end at once to
	// eight other entries.
	crashRate  = 2000.0
	crashBurst = 32000.0
	// catchUpWindow is the time after a start, or after the end of a network partition, during
	// which an entry requests missed crashes from the peers to which it reports. It covers several
	// rounds because datagrams can be lost.
	catchUpWindow = 300 * time.Millisecond
)

// recordReceived records the arrival of a datagram. The first datagram after more than
// livenessTimeout without any marks the end of a partition and starts a catch-up. The caller holds
// p.mu.
func (p *Peers) recordReceived(now clock.Stamp) {
	if now.Sub(p.lastReceived) > livenessTimeout {
		p.catchUpUntil = now.Add(catchUpWindow)
	}
	p.lastReceived = now
}

// SendCrashes reports crashes immediately to up to maxFanout random live peers. Each peer forwards
// the crashes that are new to it. A retry of a request that crashes targets can reach any entry
// within a second, whereas the regular rounds of a large fleet take several seconds.
func (p *Peers) SendCrashes(now clock.Stamp, list []Crash) {
	p.sendCrashReports(now, list, p.randomPeers(now, maxFanout)...)
}

// ForwardCrashes forwards crashes reported by a peer to maxFanout random live peers. It does
// nothing if a single round reaches all live peers.
func (p *Peers) ForwardCrashes(now clock.Stamp, list []Crash) {
	if to := p.randomPeers(now, maxFanout+1); len(to) > maxFanout {
		p.sendCrashReports(now, list, to[:maxFanout]...)
	}
}

// sendCrashReports sends datagrams that carry only crashes until their budget is exhausted. The
// remaining crashes are sent with the regular rounds.
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

// newCrashReport returns a report of crashes with the next sequence number, or false if the budget
// for crash reports is exhausted.
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

// randomPeers returns up to n live peers in random order.
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
