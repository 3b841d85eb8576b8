package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/member"

	"github.com/cockroachdb/errors"
)

const (
	// readLimit bounds one read beyond the time that a watch waits.
	readLimit = 5 * time.Second
	// listMax bounds a host list in bytes.
	listMax = 4 << 20
	// peersFirst is how long a starting process waits for its peers before it
	// reads the service: the service may be stale, and a process that put an old
	// publication in force would serve by it until it heard better.
	peersFirst = 2 * time.Second
	// startSpread spreads the first reads of processes that start together.
	startSpread = time.Second
)

// ErrStatus says that the service answered with an unexpected status.
type ErrStatus struct {
	Name   string
	Status int
}

// Error names what was read.
func (err ErrStatus) Error() string {
	return fmt.Sprintf("read %s: status %d", err.Name, err.Status)
}

// IsErrStatus checks whether the service answered with an unexpected status.
func IsErrStatus(err error) bool {
	return errors.As(err, new(ErrStatus))
}

// value is what the service answered.
type value struct {
	content  []byte
	revision uint64
	// same says that nothing above the revision asked for is there.
	same bool
}

// get reads a value. With a revision it returns only what is newer, and waits
// for it.
func (n *Node) get(ctx context.Context, name string, after uint64, wait time.Duration) (value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readLimit)
	defer cancel()
	url := n.Platform + "/v/" + name
	if after > 0 {
		url += "?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	}
	res, err := n.request(ctx, url)
	if err != nil {
		return value{}, err
	}
	defer res.Body.Close()
	v := value{}
	v.revision, _ = strconv.ParseUint(res.Header.Get("Version"), 10, 64)
	switch res.StatusCode {
	case http.StatusNotModified:
		v.same = true
		return v, nil
	case http.StatusOK:
	default:
		return v, ErrStatus{Name: name, Status: res.StatusCode}
	}
	v.content, err = io.ReadAll(io.LimitReader(res.Body, config.ValueMax+1))
	if err == nil && len(v.content) > config.ValueMax {
		err = errors.Newf("read %s: larger than 1 MiB", name)
	}
	return v, err
}

func (n *Node) request(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "read the service")
	}
	res, err := n.HTTP.Do(req)
	return res, errors.Wrap(err, "read the service")
}

// planNow derives this process's share of reads from the publication in force,
// or from the root that is being fetched.
func (n *Node) planNow(now time.Time, list int) plan {
	f := fleet{List: list}
	if view := n.Store.View(); view != nil {
		f.Reads, f.Nodes = view.Publication.Budget.Reads, config.Nodes(view.Publication)
		f.Watches = n.watching(now, view)
	} else if r, err := config.ParseRoot(n.puller.take().root); err == nil {
		f.Reads, f.Nodes = r.Reads, r.Nodes
	}
	n.mu.Lock()
	f.Lonely = n.lonely(now)
	n.mu.Unlock()
	return makePlan(f)
}

// spend takes one read from this process's share.
func (n *Node) spend(now time.Time) bool {
	p := n.planNow(now, 0)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bucket.take(now, p)
}

// watching says whether this process is among the watchers, by its own view.
func (n *Node) watching(now time.Time, view *chestnutstep.View) bool {
	is := slices.Contains(n.watchers(now, view), n.Name)
	n.mu.Lock()
	was := n.watcher
	n.watcher = is
	n.mu.Unlock()
	if is != was {
		n.notify(NoticeWatcher, strconv.FormatBool(is), nil)
	}
	return is
}

// watchers lists who watches, by this process's view. Agents that are out of
// service or whose host leaves come last: they may stop any moment.
func (n *Node) watchers(now time.Time, view *chestnutstep.View) []string {
	var steady, others []string
	for i := range view.Publication.Targets {
		t := &view.Publication.Targets[i]
		if view.Out(t) || (n.Members != nil && n.Members.Leaving(now, t.Host)) {
			others = append(others, t.Name)
			continue
		}
		steady = append(steady, t.Name)
	}
	return chooseWatchers(steady, others, watcherCount(view.Publication.Budget.Reads))
}

// readLoop watches the root, or reads it now and then.
func (n *Node) readLoop(ctx context.Context) {
	if n.Platform == "" || !n.start(ctx) {
		return
	}
	var revision uint64
	failures := 0
	for ctx.Err() == nil {
		now := time.Now()
		p := n.planNow(now, 0)
		n.mu.Lock()
		watcher := n.watcher
		allowed := n.bucket.take(now, p)
		n.mu.Unlock()
		var wait time.Duration
		if watcher {
			wait = watchWait
		}
		if !allowed {
			n.hold(ctx, watcher, n.jitter(max(every(p.Rate)/2, pullPause)))
			continue
		}
		v, err := n.get(ctx, config.RootName, revision, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			n.served(err)
			sleep(ctx, n.pauseAfter(failures))
			continue
		}
		failures = 0
		n.served(nil)
		revision = n.took(v, revision)
		if !watcher {
			n.await(ctx, n.jitter(p.Spot))
		}
	}
}

// hold waits until this process's share allows a read again.
func (n *Node) hold(ctx context.Context, watcher bool, d time.Duration) {
	if watcher {
		sleep(ctx, d)
		return
	}
	n.await(ctx, d)
}

// start gives the peers a while to answer first.
func (n *Node) start(ctx context.Context) bool {
	n.mu.Lock()
	spread := time.Duration(n.rand.Int64N(int64(startSpread)))
	n.mu.Unlock()
	if len(n.Peers) == 0 {
		return sleep(ctx, spread/4)
	}
	changed := n.Store.Changed()
	if n.Store.View() != nil {
		return true
	}
	select {
	case <-changed:
	case <-time.After(peersFirst + spread):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
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

// await sleeps between direct reads, but not longer than until a publication
// makes this process a watcher. It looks before it waits: a publication that
// came into force right before would otherwise go unseen, and the process would
// not watch for as long as it was meant to sleep.
func (n *Node) await(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		changed := n.Store.Changed()
		if view := n.Store.View(); view != nil && n.watching(time.Now(), view) {
			return
		}
		select {
		case <-t.C:
			return
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *Node) pauseAfter(failures int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return backoff(failures, n.rand)
}

// served notes whether the service answers, and tells when that changes.
func (n *Node) served(err error) {
	n.mu.Lock()
	was := n.down
	n.down = err != nil
	n.mu.Unlock()
	switch {
	case err != nil && !was:
		n.notify(NoticeDown, n.Platform, err)
	case err == nil && was:
		n.notify(NoticeUp, n.Platform, nil)
	}
}

// took hands a root on to be fetched and returns the revision to wait beyond.
// A service that was restored from a copy counts on from an older revision: a
// watch for the newer one would wait for ever, and changes would go unseen.
func (n *Node) took(v value, revision uint64) uint64 {
	if v.same {
		if v.revision < revision {
			n.notify(NoticeStale, strconv.FormatUint(v.revision, 10), nil)
		}
		return min(v.revision, revision)
	}
	if _, err := n.Store.Missing(time.Now(), v.content); err == nil {
		r, _ := config.ParseRoot(v.content)
		n.puller.want(want{stamp: config.Stamp{Version: r.Version, Digest: config.Hash(v.content)}, root: v.content})
	} else if config.IsErrOld(err) && n.Store.Stamp().Digest != config.Hash(v.content) {
		n.notify(NoticeStale, strconv.FormatUint(v.revision, 10), err)
	}
	return v.revision
}

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
