package trial

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

// directFleet simulates entries that send requests to targets without agents. It uses the real
// packages board and place on the simulated clock. Targets have their own queues.
type directFleet struct {
	trial   *trial
	service *chestnutstep.Service
	entries []*board.Board
	addrs   []netip.AddrPort
	view    *roster.View
	// startCounts counts the starts of each target, by name.
	startCounts map[string]int64
}

const (
	// serviceName is the name of the only service.
	serviceName = "s"
	// requestTokens is the number of tokens of a prompt after the prefix of its chat.
	requestTokens = 200
	// maxDirectAttempts is the maximum number of targets tried for a request while they
	// are down.
	maxDirectAttempts = 3
	// heartbeat is the delay until entries detect a restart of a target.
	heartbeat = time.Second
)

func newDirect(t *trial) *directFleet {
	d := &directFleet{
		trial:       t,
		service:     &chestnutstep.Service{Name: serviceName, IsEngine: true},
		startCounts: make(map[string]int64),
	}
	for i := range t.cfg.Entries {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		d.addrs = append(d.addrs, a)
		d.entries = append(d.entries, &board.Board{Self: a})
	}
	d.updateView()
	if t.cfg.ReportInterval > 0 {
		t.every(t.cfg.ReportInterval, d.exchangeReports)
	}
	return d
}

// now returns the simulated time for boards. It starts above zero because a zero Stamp means
// "never".
func (d *directFleet) now() clock.Stamp { return clock.Stamp(time.Hour + d.trial.now) }

// updateView gives the entries the current list of targets.
func (d *directFleet) updateView() {
	v := &roster.View{
		Services: make(map[string][]*roster.Target), ByID: make(map[string]*roster.Target), Out: make(map[string]bool),
	}
	for _, g := range d.trial.targets {
		domain := fmt.Sprint("d", g.domain)
		if g.isOut {
			v.Out[domain] = true
		}
		x := &roster.Target{Instance: chestnutstep.Instance{
			ID: g.self.Name, Service: serviceName, Domain: domain, Slots: d.trial.cfg.Model.Slots, StartedMs: d.startCounts[g.self.Name],
		}}
		v.Services[serviceName] = append(v.Services[serviceName], x)
		v.ByID[x.ID] = x
	}
	d.view = v
	for _, b := range d.entries {
		b.Prune(v)
	}
}

// onRestart records a restart of a target. Entries detect it with its next heartbeat.
func (d *directFleet) onRestart(g *target) {
	d.startCounts[g.self.Name]++
	d.trial.after(heartbeat, d.updateView)
}

// exchangeReports sends one report from every entry to every other entry.
func (d *directFleet) exchangeReports() {
	now := d.now()
	for i, from := range d.entries {
		r := &share.Report{From: d.addrs[i], Loads: from.Loads(), CachedParts: from.CacheChanges()}
		for j, to := range d.entries {
			if j != i {
				to.MergeReport(now, r)
			}
		}
	}
}

// send sends a request to a target and tries other targets if that one is down. If all attempts
// fail, it schedules a retry after a second.
func (d *directFleet) send(r *request) {
	entry := d.entries[d.trial.rand.IntN(len(d.entries))]
	var skip []string
	for range maxDirectAttempts {
		if d.try(entry, r, &skip) {
			return
		}
	}
	d.trial.retry(r, time.Second)
}

// try sends a request to one target and reports whether the target took it. It returns false if
// there is no target to choose or the target is down.
func (d *directFleet) try(entry *board.Board, r *request, skip *[]string) bool {
	now := d.now()
	parts := d.parts(r)
	query := place.Request{Key: parts[0].ID, Tokens: parts[0].Tokens + parts[1].Tokens, Shared: parts[0].Tokens}
	c := entry.Choose(now, d.view, d.service, board.Criteria{Parts: parts, Skip: *skip}, query)
	if c.Target == nil {
		return false
	}
	*skip = append(*skip, c.ID)
	r.source = d.trial.byName[c.Donor.ID]
	r.run = entry.Start(now, c.Target, d.service, parts, c.ReusableTokens(), board.Caller{})
	g := d.trial.byName[c.ID]
	if g.down {
		r.run.End(now, board.Unreachable)
		r.run = nil
		return false
	}
	r.work.WaitUntil = d.trial.time().Add(r.timeout)
	return d.trial.offer(r, g, false, true)
}

// parts returns the parts of a prompt: the prefix of the chat and the part unique to the request.
func (d *directFleet) parts(r *request) []chestnutstep.PromptPart {
	s := d.trial.cfg.Streams[r.stream]
	tokens := int(s.Prefill.Seconds() * 1000 * place.PrefillRate)
	return []chestnutstep.PromptPart{
		{ID: xxhash.Sum64String(r.chat), Tokens: tokens},
		{ID: xxhash.Sum64String(r.work.ID), Tokens: requestTokens},
	}
}

// outcomes maps outcomes of the trial to those of package board.
var outcomes = map[chestnutstep.Outcome]board.Outcome{
	chestnutstep.OutcomeServed:    board.Served,
	chestnutstep.OutcomeFailed:    board.Broken,
	chestnutstep.OutcomeAbandoned: board.Canceled,
}

// onEnd reports the outcome of a request to the board of its entry.
func (d *directFleet) onEnd(r *request, o chestnutstep.Outcome) {
	if r.run == nil {
		return
	}
	r.run.End(d.now(), outcomes[o])
	r.run = nil
}

// onStart reports the first byte of a request to the board of its entry once the prefill is over.
func (d *directFleet) onStart(r *request, prefill time.Duration) {
	run := r.run
	if run == nil {
		return
	}
	d.trial.after(prefill, func() {
		if r.run == run {
			run.FirstByte(d.now())
		}
	})
}

// DirectRows returns the trials that compare entries without agents on the recorded load, by the
// number of entries and the interval of their reports.
func DirectRows(seed uint64) []Row {
	var rows []Row
	add := func(name string, cfg Config) {
		cfg.Seed = seed
		rows = append(rows, Row{Name: name, Config: scaleToThird(cfg)})
	}
	add("agents, multiple 1.25", ChurnConfig(1.25, FullPolicy, false))
	add("naive", ChurnConfig(1.25, Policy{Naive: true}, false))
	for _, n := range []int{5, 24} {
		for _, interval := range []time.Duration{400 * time.Millisecond, 4 * time.Second, 0} {
			cfg := ChurnConfig(0, Policy{Import: true}, false)
			cfg.Entries, cfg.ReportInterval = n, interval
			name := fmt.Sprintf("%d entries, told each %s", n, interval)
			if interval == 0 {
				name = fmt.Sprintf("%d entries, never told", n)
			}
			add(name, cfg)
		}
	}
	return rows
}

// scaleToThird scales the recorded load and its fleet to a third of their size.
func scaleToThird(cfg Config) Config {
	cfg.Targets = 30
	cfg.Streams[0].Rate /= 3
	cfg.Streams[0].Chats /= 3
	cfg.RestartInterval *= 3
	return cfg
}

// DirectDomainRows returns the trials, with and without agents, in which a third of the fleet is
// taken out of service for 90 s and returns with empty caches. Their results start one minute
// before the domain leaves.
func DirectDomainRows(seed uint64) []Row {
	var rows []Row
	add := func(name string, cfg Config) {
		cfg.Seed = seed
		cfg = scaleToThird(cfg)
		cfg.LeaveAt, cfg.ReturnAt = 6*time.Minute, 7*time.Minute+30*time.Second
		cfg.Warmup, cfg.Duration = 5*time.Minute, 10*time.Minute
		rows = append(rows, Row{Name: name, Config: cfg})
	}
	add("agents, multiple 1.25", ChurnConfig(1.25, FullPolicy, true))
	add("naive", ChurnConfig(1.25, Policy{Naive: true}, true))
	for _, n := range []int{5, 24} {
		cfg := ChurnConfig(0, Policy{Import: true}, true)
		cfg.Entries, cfg.ReportInterval = n, 400*time.Millisecond
		add(fmt.Sprintf("%d entries, told each %s", n, cfg.ReportInterval), cfg)
	}
	return rows
}
