package gossip

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/member"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// maxHostListBytes bounds the size of a host list in bytes.
	maxHostListBytes = 4 << 20
	// hostPushInterval is the time between two messages to the agents of
	// leaving hosts. 50 messages per second of about 300 bytes each stay within
	// the traffic limit of a process.
	hostPushInterval = 20 * time.Millisecond
	// forwarderDivisor is the inverse of the fraction of processes that forward
	// a host event to the agents on the host: about 100 of 3,000 processes,
	// some of which receive the event within the first second, and 9 in a fleet
	// of 300.
	forwarderDivisor = 32
)

// hostsLoop reads the host list periodically. It waits for the first
// publication, because before that the few permitted reads are needed for the
// root.
func (n *Node) hostsLoop(ctx context.Context) {
	if n.Members == nil || n.Platform == "" || !n.awaitPublication(ctx) {
		return
	}
	size, failures := 0, 0
	for ctx.Err() == nil {
		p := n.currentPlan(time.Now(), size)
		if n.allowRead(time.Now()) {
			list, read, err := n.readHosts(ctx)
			if err != nil {
				failures++
				clock.Sleep(ctx, n.nextBackoff(failures))
				continue
			}
			failures, size = 0, read
			n.applyHostList(list)
		}
		clock.Sleep(ctx, n.jitter(p.HostsInterval))
	}
}

// awaitPublication waits for the first publication. It returns false if ctx is
// done first.
func (n *Node) awaitPublication(ctx context.Context) bool {
	changed := n.Store.Changed()
	if n.Store.View() != nil {
		return true
	}
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *Node) readHosts(ctx context.Context) ([]member.Host, int, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	res, err := n.request(ctx, n.Platform+"/hosts")
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, 0, ErrStatus{Name: "hosts", Status: res.StatusCode}
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxHostListBytes))
	if err != nil {
		return nil, 0, errors.Wrap(err, "read hosts")
	}
	list, err := parseHosts(raw)
	return list, len(raw), err
}

// hostLine is an element of the platform's host list.
type hostLine struct {
	Host  string `json:"host"`
	State string `json:"state"`
}

// leavingState is the platform's state of a host that takes no new work. Any
// other state counts as live: a state that this program doesn't support must
// not take a host out of service.
const leavingState = "leaving"

func parseHosts(raw []byte) ([]member.Host, error) {
	var lines []hostLine
	if err := json.Unmarshal(raw, &lines); err != nil {
		return nil, errors.Wrap(err, "read hosts")
	}
	list := make([]member.Host, len(lines))
	for i, l := range lines {
		list[i] = member.Host{Name: l.Host, Leaving: l.State == leavingState}
	}
	return list, nil
}

// applyHostList applies a host list and distributes its events. Each process
// that reads an event also sends it to the agents on the host. The order is
// random, because other processes that read the same list do the same.
func (n *Node) applyHostList(list []member.Host) {
	now := time.Now()
	events, ok := n.Members.ApplyList(now, list)
	if !ok {
		n.notify(NoticeShortList, strconv.Itoa(len(list)), nil)
	}
	n.mu.Lock()
	n.rand.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	n.mu.Unlock()
	for _, h := range events {
		if n.addHostEvent(now, h, 0) {
			n.queueHostPush(h)
		}
	}
}

// queueHostPush queues an event for the agents on its host. If the queue is
// full, the event is dropped, because it is also sent in regular messages.
func (n *Node) queueHostPush(h member.Host) {
	select {
	case n.hostPushes <- h:
	default:
	}
}

// isForwarder reports whether a process forwards an event of a host to the
// agents on it. One in forwarderDivisor processes does, selected by hash, so
// that some that receive the event early forward it and the agents don't get it
// from every process.
func isForwarder(process, host string) bool {
	return xxhash.Sum64String(process+"\x00"+host)%forwarderDivisor == 0
}

// hostPushLoop sends queued host events to the agents on the hosts. Most agents
// would receive them from their neighbours. But when hundreds of hosts leave
// together, each message carries only some of the events, and the last agents
// would receive the event of their own host many seconds after the first.
func (n *Node) hostPushLoop(ctx context.Context) {
	for {
		select {
		case h := <-n.hostPushes:
			n.pushHost(ctx, h)
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) pushHost(ctx context.Context, h member.Host) {
	view := n.Store.View()
	if view == nil {
		return
	}
	for _, a := range agentsOn(view, h.Name) {
		if a == n.Address {
			continue
		}
		m := n.shortMessage(time.Now())
		m.Hosts = []*wire.HostState{{Host: h.Name, Leaving: h.Leaving}}
		n.exchange(ctx, a, m)
		if !clock.Sleep(ctx, hostPushInterval) {
			return
		}
	}
}

// agentsOn returns the addresses of the agents on a host.
func agentsOn(view *chestnutstep.View, host string) []string {
	var list []string
	for i := range view.Publication.Targets {
		if t := &view.Publication.Targets[i]; t.Host == host {
			list = append(list, t.Agent)
		}
	}
	return list
}
