package gossip

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"chestnutstep.example/chestnutstep/member"

	"github.com/cockroachdb/errors"
)

// listMax bounds a host list in bytes.
const listMax = 4 << 20

// hostsLoop reads the host list, from the first publication on: before it, the
// few reads that a process may make go to the root.
func (n *Node) hostsLoop(ctx context.Context) {
	if n.Members == nil || n.Platform == "" || !n.known(ctx) {
		return
	}
	size, failures := 0, 0
	for ctx.Err() == nil {
		p := n.planNow(time.Now(), size)
		if n.spend(time.Now()) {
			list, read, err := n.readHosts(ctx)
			if err != nil {
				failures++
				sleep(ctx, n.pauseAfter(failures))
				continue
			}
			failures, size = 0, read
			n.learnList(list)
		}
		sleep(ctx, n.jitter(p.Hosts))
	}
}

// known waits for the first publication.
func (n *Node) known(ctx context.Context) bool {
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
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	res, err := n.request(ctx, n.Platform+"/hosts")
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, 0, ErrStatus{Name: "hosts", Status: res.StatusCode}
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, listMax))
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

// learnList takes a host list and lets its news go round.
func (n *Node) learnList(list []member.Host) {
	now := time.Now()
	news, ok := n.Members.Learn(now, list)
	if !ok {
		n.notify(NoticeShort, strconv.Itoa(len(list)), nil)
	}
	for _, h := range news {
		n.spread(now, h, 0)
	}
}
