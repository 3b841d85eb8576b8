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
	// maxHostListBytes bounds a host list in bytes.
	maxHostListBytes = 4 << 20
	// hostPushInterval is the time between two messages to the agents of leaving hosts.
	// At fifty a second and some 300 bytes each it stays within what a process
	// may spend.
	hostPushInterval = 20 * time.Millisecond
	// forwarderDivisor is one in how many processes tells the agents of a host when it
	// hears news of it: about a hundred of three thousand, some of whom hear it in
	// the first second, and nine in a fleet of three hundred.
	forwarderDivisor = 32
)

// hostsLoop reads the host list, from the first publication on: before it, the
// few reads that a process may make go to the root.
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

// awaitPublication waits for the first publication.
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

// hostLine is a line of the platform's list.
type hostLine struct {
	Host  string `json:"host"`
	State string `json:"state"`
}

// leavingState is what the platform calls a host that takes no new work. Any
// other state counts as live: a word that this program does not know must not
// take a host out of service.
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

// applyHostList takes a host list and lets its news go round. Whoever reads news
// tells the agents concerned, all of them in random order, as others who read
// the same list do.
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

// queueHostPush queues news for the agents on the host itself. A full queue drops it: the
// news goes round as well.
func (n *Node) queueHostPush(h member.Host) {
	select {
	case n.hostPushes <- h:
	default:
	}
}

// isForwarder says whether a process that hears news of a host tells its agents. One
// in helpShare does, chosen by hash, so that some who hear it early do and the
// agents don't hear it from everyone.
func isForwarder(process, host string) bool {
	return xxhash.Sum64String(process+"\x00"+host)%forwarderDivisor == 0
}

// hostPushLoop tells the agents on hosts with news. Most of them would hear it from
// their neighbours, but when hundreds of hosts leave together each message
// carries only some of the news, and the last agents would hear of their own
// host many seconds after the first.
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

// agentsOn lists the addresses of the agents on a host.
func agentsOn(view *chestnutstep.View, host string) []string {
	var list []string
	for i := range view.Publication.Targets {
		if t := &view.Publication.Targets[i]; t.Host == host {
			list = append(list, t.Agent)
		}
	}
	return list
}
