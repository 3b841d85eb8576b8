package claim

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/origin"
)

const (
	// copies is the number of entries that hold a claim.
	copies = 2
	// holderTimeout is how long a lookup waits for one holder: about ten times the way there and back
	// between failure domains, and little against an objective of 120 ms.
	holderTimeout = 8 * time.Millisecond
	// datagramOverhead is the size of the kind of a message and of the IPv4 and UDP headers.
	datagramOverhead = 29
)

// Keeper grants claims at one entry, holds those that a hash assigns to it, and looks up those of callers
// that return. It implements board.ClaimReserve. The exported fields must be set before use. It is safe for
// concurrent use.
type Keeper struct {
	Self origin.Member
	// Members returns the other entries.
	Members func() []origin.Member
	// Send sends a datagram to another entry, which passes it to its Receive. It can be lost.
	Send func(to netip.AddrPort, b []byte)

	mu       sync.Mutex
	planners map[string]*Planner
	limits   Limits
	ledger   Ledger
	// lookups holds the lookups in progress by their numbers.
	lookups    map[uint64]*lookup
	lastNumber uint64
	budget     Budget
}

// lookup is a question to one holder.
type lookup struct {
	holder  netip.AddrPort
	content uint64
	answer  chan Answer
}

// Elapsed records the remaining time of a request, and returns the time since its caller's first attempt,
// see Limits.
func (k *Keeper) Elapsed(now clock.Stamp, key string, remaining time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limits.Elapsed(now, key, remaining)
}

// Reserve returns the part of a service's places that a new request leaves to others, see
// Planner.Reserve.
func (k *Keeper) Reserve(now clock.Stamp, service string, a Asker, capacity float64, entries int) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.planner(service).Reserve(now, a, capacity, entries)
}

// planner returns the planner of a service. The caller holds k.mu.
func (k *Keeper) planner(service string) *Planner {
	if k.planners == nil {
		k.planners = make(map[string]*Planner)
	}
	if k.planners[service] == nil {
		k.planners[service] = &Planner{}
	}
	return k.planners[service]
}

// Refuse decides what a refused caller is told, and sends its claim to the holders.
func (k *Keeper) Refuse(now clock.Stamp, service string, content uint64, s Shortage) Plan {
	holders := k.holders(content)
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.budget.CanSend(now) {
		s.WithinShare = false // the holders would not get the claim
	}
	p := k.planner(service).Plan(now, s)
	if !p.Granted {
		return p
	}
	for i, h := range holders {
		if h.Addr == k.Self.Addr {
			k.ledger.Add(now, content, p.Wait, i == 0)
			continue
		}
		k.send(now, h.Addr, message{Kind: kindGrant, Content: content, WaitMs: toMs(p.Wait), First: i == 0})
	}
	return p
}

// Find looks up the claim of a content at its holders, and uses it if it is valid. It asks them in
// order, so that a claim that is used at the first one is not used at the other as well. It ends after
// copies times holderTimeout.
func (k *Keeper) Find(ctx context.Context, content uint64) Answer {
	var a Answer
	for _, h := range k.holders(content) {
		if a = k.ask(ctx, h.Addr, content); a.State != Unknown {
			return a
		}
	}
	return a
}

// ask asks one holder.
func (k *Keeper) ask(ctx context.Context, holder netip.AddrPort, content uint64) Answer {
	now := clock.Now()
	k.mu.Lock()
	k.lastNumber++
	number := k.lastNumber
	if holder == k.Self.Addr {
		defer k.mu.Unlock()
		return k.ledger.Take(now, content, LookupID{holder.String(), number})
	}
	if !k.budget.CanSend(now) {
		k.mu.Unlock()
		return Answer{}
	}
	l := &lookup{holder, content, make(chan Answer, 1)}
	if k.lookups == nil {
		k.lookups = make(map[uint64]*lookup)
	}
	k.lookups[number] = l
	k.send(now, holder, message{Kind: kindLookup, Number: number, Content: content})
	k.mu.Unlock()
	defer k.forget(number)
	t := time.NewTimer(holderTimeout)
	defer t.Stop()
	select {
	case a := <-l.answer:
		return a
	case <-t.C:
	case <-ctx.Done():
	}
	return Answer{}
}

func (k *Keeper) forget(number uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.lookups, number)
}

// Receive handles a datagram of another entry. It returns an error if the datagram is not valid.
func (k *Keeper) Receive(now clock.Stamp, b []byte) error {
	m, err := decodeMessage(b)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch m.Kind {
	case kindGrant:
		k.ledger.Add(now, m.Content, m.wait(), m.First)
	case kindLookup:
		a := k.ledger.Take(now, m.Content, LookupID{m.From.String(), m.Number})
		k.send(now, m.From, message{Kind: kindAnswer, Number: m.Number, Content: m.Content, State: a.State, WaitMs: toMs(a.Wait)})
	case kindAnswer:
		l := k.lookups[m.Number]
		if l == nil || l.content != m.Content || l.holder != m.From {
			return nil // late, repeated, or not an answer to this lookup
		}
		delete(k.lookups, m.Number)
		l.answer <- Answer{m.State, m.wait()}
	}
	return nil
}

// Expired returns how many of the claims of which this entry is the first holder were not used.
func (k *Keeper) Expired(now clock.Stamp) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.sweep(now)
	return k.ledger.expired
}

// holders returns the entries that hold the claim of a content.
func (k *Keeper) holders(content uint64) []origin.Member {
	return origin.Holders(origin.StreamID(content), append(k.Members(), k.Self), copies)
}

// send sends a datagram unless too many were sent. The caller holds k.mu.
func (k *Keeper) send(now clock.Stamp, to netip.AddrPort, m message) {
	if !k.budget.CanSend(now) {
		return
	}
	m.From = k.Self.Addr
	b := m.encode()
	k.budget.Use(len(b) + datagramOverhead)
	k.Send(to, b)
}
