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
	// samplesMax and suspicionsMax bound what a message carries of each, and
	// what is taken from one: a peer that sends more is not listened to longer.
	// With 16 samples the mean errs 7% in a surge, with 8 it errs 10%, and every
	// 10% stand as much higher on the most loaded target.
	samplesMax    = 16
	suspicionsMax = 8
)

// message is what this process tells in an exchange.
func (n *Node) message(now time.Time) *wire.GossipMessage {
	m := n.brief(now)
	n.tellLoads(now, m)
	return m
}

// brief is a message without loads and suspicions, for what is said at once to
// many: they have heard those in their regular exchanges.
func (n *Node) brief(now time.Time) *wire.GossipMessage {
	st := n.Store.Stamp()
	digest, _ := hex.DecodeString(st.Digest)
	m := &wire.GossipMessage{Name: n.Name, Address: n.Address, Version: st.Version, Root: digest}
	if n.Weight != nil {
		m.Weight = n.Weight()
	}
	n.mu.Lock()
	for _, r := range n.news.tell(now, n.rand) {
		m.Hosts = append(m.Hosts, &wire.HostState{Host: r.host.Name, Leaving: r.host.Leaving, Age: int64(now.Sub(r.said))})
	}
	n.mu.Unlock()
	return m
}

func (n *Node) tellLoads(now time.Time, m *wire.GossipMessage) {
	n.Lock.Lock()
	defer n.Lock.Unlock()
	if n.Sampler != nil {
		for _, s := range n.Sampler.Samples(now, samplesMax) {
			m.Samples = append(m.Samples, &wire.Sample{Target: s.Target, Model: s.Model, Load: s.Load, Age: int64(now.Sub(s.SeenAt))})
		}
	}
	if n.Detector != nil {
		for _, s := range n.Detector.Suspicions(now, suspicionsMax) {
			m.Suspicions = append(m.Suspicions, &wire.Suspicion{
				Fingerprint: s.Fingerprint, Crashed: s.CrashedTargets, Cleared: s.Cleared, Age: int64(now.Sub(s.SeenAt)),
			})
		}
	}
}

// learn takes a peer's message; from is where the peer answers Fetch, "" if
// unknown.
func (n *Node) learn(now time.Time, m *wire.GossipMessage, from string) {
	st := config.Stamp{Version: m.GetVersion(), Digest: hex.EncodeToString(m.GetRoot())}
	if from != "" && st.Version > 0 && n.Store.ShouldFetch(st) {
		n.puller.want(want{stamp: st, sources: []string{from}})
	}
	n.learnLoads(now, m)
	n.learnHosts(now, m.GetHosts())
	if n.OnWeight != nil && m.GetName() != "" {
		n.OnWeight(m.GetName(), m.GetWeight())
	}
}

// learnLoads turns ages into times by this process's own clock.
func (n *Node) learnLoads(now time.Time, m *wire.GossipMessage) {
	n.Lock.Lock()
	defer n.Lock.Unlock()
	if n.Sampler != nil {
		var list []chestnutstep.Sample
		for _, s := range first(m.GetSamples(), samplesMax) {
			list = append(list, chestnutstep.Sample{
				Target: s.GetTarget(), Model: s.GetModel(), Load: s.GetLoad(), SeenAt: ago(now, s.GetAge()),
			})
		}
		n.Sampler.Merge(now, list)
	}
	if n.Detector != nil {
		var list []chestnutstep.Suspicion
		for _, s := range first(m.GetSuspicions(), suspicionsMax) {
			list = append(list, chestnutstep.Suspicion{
				Fingerprint: s.GetFingerprint(), CrashedTargets: first(s.GetCrashed(), 2), Cleared: s.GetCleared(), SeenAt: ago(now, s.GetAge()),
			})
		}
		n.Detector.Merge(now, list)
	}
}

func (n *Node) learnHosts(now time.Time, list []*wire.HostState) {
	if n.Members == nil {
		return
	}
	for _, s := range first(list, rumoursMax) {
		h := member.Host{Name: s.GetHost(), Leaving: s.GetLeaving()}
		age := now.Sub(ago(now, s.GetAge()))
		if n.Members.ApplyReport(now, h, age) && n.spread(now, h, age) && helps(n.Name, h.Name) {
			n.tell(h)
		}
	}
}

// spread lets news of a host go round, and says whether it is news.
func (n *Node) spread(now time.Time, h member.Host, age time.Duration) bool {
	n.mu.Lock()
	news := n.news.add(now, h, age)
	n.mu.Unlock()
	if !news {
		return false
	}
	select {
	case n.fresh <- struct{}{}:
	default:
	}
	kind := NoticeBack
	if h.Leaving {
		kind = NoticeLeaving
	}
	n.notify(kind, h.Name, nil)
	return true
}

// ago is the time that lies an age back; a negative age is taken as none, as
// nothing was seen in the future.
func ago(now time.Time, age int64) time.Time {
	return now.Add(-time.Duration(max(age, 0)))
}

func first[T any](list []T, n int) []T {
	return list[:min(n, len(list))]
}
