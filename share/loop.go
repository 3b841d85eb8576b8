package share

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// minRoundInterval is the shortest pause between two rounds. Most requests take longer, so that
	// peers see most requests in progress.
	minRoundInterval = 50 * time.Millisecond
	// maxRoundInterval is the longest pause between two rounds. A peer that sends no datagram for a
	// multiple of it counts as gone.
	maxRoundInterval = 500 * time.Millisecond
	// maxSendRate is the maximum send rate of an entry in bytes per second. The control budget of a
	// node is 26 KB/s, of which 2 KB/s remain for packet headers and the source.
	maxSendRate = 20000.0
	// maxReservedRatio is the part of maxSendRate that messages can take: reports carry what keeps the
	// limits of targets and of retries.
	maxReservedRatio = 0.25
	// packetOverhead is the size of the IPv4 and UDP headers of a datagram, in bytes.
	packetOverhead = 28
)

// Loop sends and receives reports until ctx ends, then closes Conn.
func (p *Peers) Loop(ctx context.Context) {
	p.initialize()
	go p.receiveLoop(ctx)
	pause := p.sendAndPause(clock.Now())
	for {
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			_ = p.Conn.Close()
			return
		case <-t.C:
		}
		pause = p.sendAndPause(clock.Now())
	}
}

// sendAndPause sends a round and returns the pause after it.
func (p *Peers) sendAndPause(now clock.Stamp) time.Duration {
	return roundInterval(p.sendRound(now), p.reportRate())
}

// reportRate returns the send rate of reports: maxSendRate without the part that messages take.
func (p *Peers) reportRate() float64 {
	if p.ReservedRate == nil {
		return maxSendRate
	}
	return maxSendRate - min(max(p.ReservedRate(), 0), maxReservedRatio*maxSendRate)
}

// RoundInterval returns the pause after a round that sent the given number of bytes.
func RoundInterval(bytes int) time.Duration { return roundInterval(bytes, maxSendRate) }

func roundInterval(bytes int, rate float64) time.Duration {
	pause := time.Duration(float64(bytes) / rate * float64(time.Second))
	return min(max(pause, minRoundInterval), maxRoundInterval)
}

// Leave reports immediately to peers that this entry is stopping.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.sendRound(clock.Now())
}

// SendLists sends each list immediately in a datagram of its own, to one round's selection of
// peers. It is meant for the seconds after a loss of all entries and does not affect the round
// interval.
func (p *Peers) SendLists(lists ...CacheList) {
	now := clock.Now()
	for _, l := range lists {
		r := &Report{From: p.Self, Incarnation: p.Incarnation, CacheLists: []CacheList{l}, Partial: true, Age: -1}
		for _, to := range p.selectPeers(now, r) {
			p.sendPartial(r, to)
		}
	}
}

// ReportNow sends a round immediately, in addition to the periodic ones.
func (p *Peers) ReportNow() { p.sendRound(clock.Now()) }

// TrafficBytes returns the total bytes sent and received, including packet headers.
func (p *Peers) TrafficBytes() (out, in int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sentBytes, p.receivedBytes
}

// sendRound sends a report to the selected peers and returns the bytes sent.
func (p *Peers) sendRound(now clock.Stamp) int {
	r := &Report{From: p.Self, Incarnation: p.Incarnation, ControlPort: p.ControlPort, Link: p.Link}
	p.Delegate.FillReport(now, r)
	p.collectEvents(now)
	peers := p.selectPeers(now, r)
	total := 0
	for _, to := range peers {
		total += p.sendReport(now, r, to)
	}
	p.mu.Lock()
	p.sentBytes += int64(total)
	p.mu.Unlock()
	return total
}

// sendReport sends a report to one peer, with the echo of that peer's clock, and returns the bytes
// sent.
func (p *Peers) sendReport(now clock.Stamp, r *Report, to netip.AddrPort) int {
	p.mu.Lock()
	x := p.peers[to]
	if x == nil {
		p.mu.Unlock()
		return 0
	}
	x.lastSent = now
	x.unanswered++
	r.Echo, r.EchoIncarnation = x.echo, x.incarnation
	r.Sent = int64(clock.Now()) / int64(time.Millisecond)
	b, next, err := p.encodeToFit(now, r, x.cursor.firstUnconfirmed)
	if err == nil {
		x.cursor.recordSent(r.Sent, next)
		p.lastReportSize = len(b)
	}
	p.mu.Unlock()
	return p.send(b, err, to)
}

// encodeToFit encodes a report with as many events, starting with number from, as fit into a
// datagram. next is the number of the first event not included. The caller holds p.mu.
func (p *Peers) encodeToFit(now clock.Stamp, r *Report, from uint64) (b []byte, next uint64, err error) {
	for maxEvents := maxEventsPerReport; ; maxEvents /= 2 {
		next = p.events.fillReport(now, r, from, maxEvents)
		b, err = encode(r)
		if err != nil || len(b) <= maxDatagramSize || maxEvents == 0 {
			return b, next, err
		}
	}
}

// collectEvents adds the events since the last round to the log.
func (p *Peers) collectEvents(now clock.Stamp) {
	e := p.Delegate.TakeEvents()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events.add(now, e)
}

// sendPartial sends a report that contains only lists or crashes.
func (p *Peers) sendPartial(r *Report, to netip.AddrPort) {
	b, err := encode(r)
	n := p.send(b, err, to)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentBytes += int64(n)
}

// send writes an encoded datagram and returns its size including headers, or 0 on failure. A
// non-nil err from encoding is passed to OnError.
func (p *Peers) send(b []byte, err error, to netip.AddrPort) int {
	if err != nil {
		p.OnError(err)
		return 0
	}
	if _, err := p.Conn.WriteTo(b, net.UDPAddrFromAddrPort(to)); err != nil {
		p.OnError(errors.Wrapf(err, "send to %s", to))
		return 0
	}
	return len(b) + packetOverhead
}

// receiveLoop reads datagrams until ctx ends.
func (p *Peers) receiveLoop(ctx context.Context) {
	buf := make([]byte, 1<<16)
	for {
		n, _, err := p.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			p.OnError(err)
			time.Sleep(minRoundInterval)
			continue
		}
		if n > 0 && buf[0] < minReportByte {
			p.handleMessage(clock.Now(), MessageKind(buf[0]), buf[1:n])
			continue
		}
		r, err := decode(buf[:n])
		if err != nil {
			p.OnError(err)
			continue
		}
		p.handleReport(clock.Now(), r, n)
	}
}

// handleReport updates the sender's state and passes the report to the delegate. If a later report of the
// same incarnation has already arrived, only the lists and crashes of a partial report are passed on, because
// no other report repeats them.
func (p *Peers) handleReport(now clock.Stamp, r *Report, n int) {
	p.mu.Lock()
	p.recordReceived(now)
	p.receivedBytes += int64(n + packetOverhead)
	x := p.addPeer(r.From)
	isLate := x != nil && x.incarnation == r.Incarnation && r.Sequence <= x.sequence
	if x == nil || isLate {
		p.mu.Unlock()
		if isLate && r.Partial {
			p.Delegate.MergeReport(now, r, 0)
		}
		return
	}
	started := x.incarnation != r.Incarnation
	if started {
		p.resetCursor(x)
	}
	x.incarnation, x.sequence, x.lastSeen, x.unanswered = r.Incarnation, r.Sequence, now, 0
	if !r.Partial {
		x.echo, x.controlPort, x.leaving, x.hasIndex, x.version = r.Sent, r.ControlPort, r.Leaving, r.HasIndex, r.Version
		x.link, x.domain = int(r.Link), r.Domain
	}
	if r.EchoIncarnation == p.Incarnation {
		x.cursor.confirm(r.Echo)
	}
	for _, a := range r.Peers {
		p.addPeer(a)
	}
	p.mu.Unlock()
	var notBefore clock.Stamp
	echo := clock.Stamp(r.Echo) * clock.Stamp(time.Millisecond)
	if echo > 0 && r.EchoIncarnation == p.Incarnation && echo <= now {
		notBefore = echo
	}
	p.Delegate.MergeReport(now, r, notBefore)
	if started {
		p.replyToNewPeer(now, r.From)
	}
	if r.NeedsCatchUp {
		p.sendCrashReports(now, p.Delegate.RecentCrashes(now), r.From)
	}
}

// replyToNewPeer reports immediately to an entry that is new or has restarted. In a large fleet,
// the new entry would otherwise wait up to half a second for its turn before it has a peer to copy
// lost state from. Each peer does so once per incarnation.
func (p *Peers) replyToNewPeer(now clock.Stamp, to netip.AddrPort) {
	r := &Report{From: p.Self, Incarnation: p.Incarnation, ControlPort: p.ControlPort}
	p.Delegate.FillReport(now, r)
	p.collectEvents(now)
	p.mu.Lock()
	p.sequence++
	r.Sequence, r.Leaving, r.NeedsCatchUp = p.sequence, p.leaving, now < p.catchUpUntil
	r.Peers = p.samplePeers(now, to)
	p.mu.Unlock()
	n := p.sendReport(now, r, to)
	p.mu.Lock()
	p.sentBytes += int64(n)
	p.mu.Unlock()
}
