package gossip

import (
	"encoding/hex"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/member"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// maxSamples and maxSuspicions bound the number of each in a message, sent
	// or received; the excess of a larger message is ignored. With 16 samples
	// the error of the mean is 7% in a surge, with 8 it is 10%, and the load of
	// the most loaded target rises by the same percentage.
	maxSamples    = 16
	maxSuspicions = 8
)

// message returns the message for a regular exchange.
func (n *Node) message(now time.Time) *wire.GossipMessage {
	m := n.shortMessage(now)
	n.appendLoads(now, m)
	return m
}

// shortMessage returns a message without load samples and suspicions, for
// pushes to many peers, which receive those in their regular exchanges.
func (n *Node) shortMessage(now time.Time) *wire.GossipMessage {
	st := n.Store.Stamp()
	digest, _ := hex.DecodeString(st.Digest)
	m := &wire.GossipMessage{Name: n.Name, Address: n.Address, Version: st.Version, Root: digest}
	if n.Weight != nil {
		m.Weight = n.Weight()
	}
	n.mu.Lock()
	for _, r := range n.hostEvents.sample(now, n.rand) {
		m.Hosts = append(m.Hosts, &wire.HostState{Host: r.host.Name, Leaving: r.host.Leaving, Age: int64(now.Sub(r.occurredAt))})
	}
	n.mu.Unlock()
	return m
}

func (n *Node) appendLoads(now time.Time, m *wire.GossipMessage) {
	n.Lock.Lock()
	defer n.Lock.Unlock()
	if n.Sampler != nil {
		for _, s := range n.Sampler.Samples(now, maxSamples) {
			m.Samples = append(m.Samples, &wire.Sample{Target: s.Target, Model: s.Model, Load: s.Load, Age: int64(now.Sub(s.SeenAt))})
		}
	}
	if n.Detector != nil {
		for _, s := range n.Detector.Suspicions(now, maxSuspicions) {
			m.Suspicions = append(m.Suspicions, &wire.Suspicion{
				Fingerprint: s.Fingerprint, Crashed: s.CrashedTargets, Cleared: s.Cleared, Age: int64(now.Sub(s.SeenAt)),
			})
		}
	}
}

// mergeMessage merges a message of a peer. from is the address where the peer
// answers Fetch, "" if unknown.
func (n *Node) mergeMessage(now time.Time, m *wire.GossipMessage, from string) {
	st := config.Stamp{Version: m.GetVersion(), Digest: hex.EncodeToString(m.GetRoot())}
	if from != "" && st.Version > 0 && n.Store.ShouldFetch(st) {
		n.puller.request(pullRequest{stamp: st, sources: []string{from}})
	}
	n.mergeLoads(now, m)
	n.mergeHosts(now, m.GetHosts())
	if n.OnWeight != nil && m.GetName() != "" {
		n.OnWeight(m.GetName(), m.GetWeight())
	}
}

// mergeLoads merges samples and suspicions. It converts their ages to times of
// the local clock.
func (n *Node) mergeLoads(now time.Time, m *wire.GossipMessage) {
	n.Lock.Lock()
	defer n.Lock.Unlock()
	if n.Sampler != nil {
		var list []chestnutstep.Sample
		for _, s := range firstN(m.GetSamples(), maxSamples) {
			list = append(list, chestnutstep.Sample{
				Target: s.GetTarget(), Model: s.GetModel(), Load: s.GetLoad(), SeenAt: timeOfAge(now, s.GetAge()),
			})
		}
		n.Sampler.Merge(now, list)
	}
	if n.Detector != nil {
		var list []chestnutstep.Suspicion
		for _, s := range firstN(m.GetSuspicions(), maxSuspicions) {
			list = append(list, chestnutstep.Suspicion{
				Fingerprint: s.GetFingerprint(), CrashedTargets: firstN(s.GetCrashed(), 2), Cleared: s.GetCleared(), SeenAt: timeOfAge(now, s.GetAge()),
			})
		}
		n.Detector.Merge(now, list)
	}
}

func (n *Node) mergeHosts(now time.Time, list []*wire.HostState) {
	if n.Members == nil {
		return
	}
	for _, s := range firstN(list, maxSentEvents) {
		h := member.Host{Name: s.GetHost(), Leaving: s.GetLeaving()}
		age := now.Sub(timeOfAge(now, s.GetAge()))
		if n.Members.ApplyReport(now, h, age) && n.addHostEvent(now, h, age) && isForwarder(n.Name, h.Name) {
			n.queueHostPush(h)
		}
	}
}

// addHostEvent adds an event to the events to distribute, and reports whether
// it is new.
func (n *Node) addHostEvent(now time.Time, h member.Host, age time.Duration) bool {
	n.mu.Lock()
	isNew := n.hostEvents.add(now, h, age)
	n.mu.Unlock()
	if !isNew {
		return false
	}
	select {
	case n.eventsReady <- struct{}{}:
	default:
	}
	kind := NoticeHostBack
	if h.Leaving {
		kind = NoticeHostLeaving
	}
	n.notify(kind, h.Name, nil)
	return true
}

// timeOfAge returns the time that lies age nanoseconds before now. A negative
// age counts as 0, because an observation can't be in the future.
func timeOfAge(now time.Time, age int64) time.Time {
	return now.Add(-time.Duration(max(age, 0)))
}

func firstN[T any](list []T, n int) []T {
	return list[:min(n, len(list))]
}
