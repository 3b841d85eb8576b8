package gossip

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/member"
	"chestnutstep.example/chestnutstep/wire"
)

// FuzzGossip guards against malformed messages: ages in the future, versions
// that no process holds, roots of any length. The process must not fail and
// must apply only verified content.
func FuzzGossip(f *testing.F) {
	for _, m := range []*wire.GossipMessage{
		{Name: "x", Address: "y", Version: 1 << 63, Root: []byte{1}},
		{Hosts: []*wire.HostState{{Host: "h", Leaving: true, Age: -1 << 63}, {Age: 1<<63 - 1}, {}}},
		{Samples: []*wire.Sample{{Age: -5}}, Suspicions: []*wire.Suspicion{{Crashed: []string{"a", "b", "c"}}}},
	} {
		raw, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := new(wire.GossipMessage)
		if proto.Unmarshal(raw, m) != nil {
			return
		}
		n := &Node{Name: "n", Store: new(config.Store), Members: new(member.Tracker), Sampler: new(stubSampler)}
		reply, err := n.Gossip(t.Context(), m)
		assert.NilError(t, err)
		assert.Equal(t, reply.GetVersion(), uint64(0))
		assert.Assert(t, len(n.hostEvents.list) <= maxSentEvents)
		for _, s := range reply.GetHosts() {
			assert.Assert(t, s.GetAge() >= 0 && s.GetAge() <= int64(hostEventTTL))
		}
	})
}

func FuzzHosts(f *testing.F) {
	f.Add([]byte(`[{"host":"a","state":"leaving"},{"host":"","state":"?"},null]`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		list, err := parseHosts(raw)
		if err == nil {
			new(member.Tracker).ApplyList(time.Now(), list)
		}
	})
}
