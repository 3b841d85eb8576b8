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
	// fast is the pause between two rounds of datagrams while they cost little:
	// most requests take longer, so that few are unknown to the peers.
	fast = 50 * time.Millisecond
	// slow bounds the pause: a peer that was silent for much longer counts as
	// gone.
	slow = 500 * time.Millisecond
	// rate is the bytes a second that an entry sends. A node may spend 26 KB/s on
	// control; 2 KB/s are left for packet headers and the source.
	rate = 20000.0
	// overhead is the bytes of the headers of a UDP packet.
	overhead = 28
)

// Loop sends rounds of datagrams until ctx ends.
func (p *Peers) Loop(ctx context.Context) {
	p.begin()
	go p.loop(ctx)
	pause := Pace(p.round(clock.Now()))
	for {
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			_ = p.Conn.Close()
			return
		case <-t.C:
		}
		pause = Pace(p.round(clock.Now()))
	}
}

// Pace is the pause after a round that sent this many bytes.
func Pace(bytes int) time.Duration {
	pause := time.Duration(float64(bytes) / rate * float64(time.Second))
	return min(max(pause, fast), slow)
}

// Leave announces to the peers that this entry stops.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.round(clock.Now())
}

// Spread sends lists to the peers at once, a datagram for each: to some of them
// where there are many. It is for the seconds after a loss of all entries, and
// not counted in the pace.
func (p *Peers) Spread(lists ...List) {
	now := clock.Now()
	for _, l := range lists {
		r := &Report{From: p.Self, Run: p.Run, Lists: []List{l}, Partial: true, Age: -1}
		for _, to := range p.choose(now, r) {
			p.sendPartial(r, to)
		}
	}
}

// Announce reports at once, to as many peers as one round reaches.
func (p *Peers) Announce() { p.round(clock.Now()) }

// Bytes is what was sent and received.
func (p *Peers) Bytes() (out, in int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out, p.in
}

// round sends one datagram to each peer, or to some of many, and returns the
// bytes.
func (p *Peers) round(now clock.Stamp) int {
	r := &Report{From: p.Self, Run: p.Run, Control: p.Control, Link: p.Link}
	p.Knowledge.FillReport(now, r)
	p.addNews(now)
	targets := p.choose(now, r)
	sum := 0
	for _, to := range targets {
		sum += p.tell(now, r, to)
	}
	p.mu.Lock()
	p.out += int64(sum)
	p.mu.Unlock()
	return sum
}

// tell sends a report to one peer, with the echo of that peer's clock, and returns
// the bytes.
func (p *Peers) tell(now clock.Stamp, r *Report, to netip.AddrPort) int {
	p.mu.Lock()
	x := p.peers[to]
	if x == nil {
		p.mu.Unlock()
		return 0
	}
	x.sent = now
	x.unanswered++
	r.Echo, r.EchoRun = x.echo, x.run
	r.Sent = int64(clock.Now()) / int64(time.Millisecond)
	b, next, err := p.fit(now, r, x.news.has)
	if err == nil {
		x.news.sent(r.Sent, next)
		p.size = len(b)
	}
	p.mu.Unlock()
	return p.send(b, err, to)
}

// fit encodes a report with as much of the news as a datagram holds, and returns the number
// of the first event that it doesn't hold. The caller holds the lock.
func (p *Peers) fit(now clock.Stamp, r *Report, from uint64) (b []byte, next uint64, err error) {
	for most := newsTold; ; most /= 2 {
		next = p.news.fill(now, r, from, most)
		b, err = encode(r)
		if err != nil || len(b) <= datagramMost || most == 0 {
			return b, next, err
		}
	}
}

// addNews takes up what happened since the last round.
func (p *Peers) addNews(now clock.Stamp) {
	n := p.Knowledge.News()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.news.add(now, n)
}

// sendPartial sends a report that has nothing but lists or crashes.
func (p *Peers) sendPartial(r *Report, to netip.AddrPort) {
	b, err := encode(r)
	n := p.send(b, err, to)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out += int64(n)
}

// send writes one datagram that was encoded, and returns its bytes with headers.
func (p *Peers) send(b []byte, err error, to netip.AddrPort) int {
	if err != nil {
		p.OnError(err)
		return 0
	}
	if _, err := p.Conn.WriteTo(b, net.UDPAddrFromAddrPort(to)); err != nil {
		p.OnError(errors.Wrapf(err, "send to %s", to))
		return 0
	}
	return len(b) + overhead
}

// loop reads datagrams until the socket is closed.
func (p *Peers) loop(ctx context.Context) {
	buf := make([]byte, 1<<16)
	for {
		n, _, err := p.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			p.OnError(err)
			time.Sleep(fast)
			continue
		}
		r, err := decode(buf[:n])
		if err != nil {
			p.OnError(err)
			continue
		}
		p.take(clock.Now(), r, n)
	}
}

// take passes a report on unless a later one of the same run came first.
func (p *Peers) take(now clock.Stamp, r *Report, n int) {
	p.mu.Lock()
	p.noteHeard(now)
	p.in += int64(n + overhead)
	x := p.addPeer(r.From)
	if x == nil || x.run == r.Run && r.Number <= x.number {
		p.mu.Unlock()
		return
	}
	started := x.run != r.Run
	if started {
		p.forget(x)
	}
	x.run, x.number, x.lastSeen, x.unanswered = r.Run, r.Number, now, 0
	if !r.Partial {
		x.echo, x.control, x.leaving, x.hasIndex, x.version = r.Sent, r.Control, r.Leaving, r.HasIndex, r.Version
		x.link = int(r.Link)
	}
	if r.EchoRun == p.Run {
		x.news.confirm(r.Echo)
	}
	for _, a := range r.Peers {
		p.addPeer(a)
	}
	p.mu.Unlock()
	var asked clock.Stamp
	echo := clock.Stamp(r.Echo) * clock.Stamp(time.Millisecond)
	if echo > 0 && r.EchoRun == p.Run && echo <= now {
		asked = echo
	}
	p.Knowledge.MergeReport(now, r, asked)
	if started {
		p.answerNew(now, r.From)
	}
	if r.Missed {
		p.sendCrashes(now, p.Knowledge.Losses(now), r.From)
	}
}

// answerNew reports at once to an entry that was not known before, or has restarted. In a large
// fleet it would otherwise wait for its turn, up to half a second, before it knows
// whom to ask for what it lost; each peer does so once for each of its runs.
func (p *Peers) answerNew(now clock.Stamp, to netip.AddrPort) {
	r := &Report{From: p.Self, Run: p.Run, Control: p.Control}
	p.Knowledge.FillReport(now, r)
	p.addNews(now)
	p.mu.Lock()
	p.number++
	r.Number, r.Leaving, r.Missed = p.number, p.leaving, now < p.missedUntil
	r.Peers = p.some(now, to)
	p.mu.Unlock()
	n := p.tell(now, r, to)
	p.mu.Lock()
	p.out += int64(n)
	p.mu.Unlock()
}
