// Package bench measures a fleet of separate processes and compares it with a plain
// reverse proxy (the naive path) in the same run: the time to the first byte that
// entry and agent add, the memory per open stream, and an entry's CPU time under
// load. It also measures a fleet of many processes while idle and during changes of
// the publication.
package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/fleet"
	"chestnutstep.example/chestnutstep/load"
)

// Bench is one measurement. Set the fields, then call one of its methods.
type Bench struct {
	// Bin is the directory of the programs; Dir is the directory for settings and logs.
	Bin, Dir string
	// Streams is the number of streams kept open per path while the first byte is
	// timed.
	Streams int
	// Probes is the number of timed requests per path.
	Probes int
	// Rate is the load of Throughput in requests per second, Tokens the number of
	// tokens per answer, and Time the duration of the load.
	Rate, Tokens int
	Time         time.Duration
	// Out receives the results.
	Out io.Writer
}

const (
	// tokenInterval is the duration of one step of the engine under test. It is short
	// because the wait for the next step adds to each measured time.
	tokenInterval = 250 * time.Microsecond
	// heldPace is the pace of the background streams: one token per heldPace steps.
	heldPace = 400
	// warmProbes is the number of untimed probes that open the connections first.
	warmProbes = 50
)

// path is one path from a caller to the engine: direct, naive or fleet.
type path struct {
	name      string
	caller    *fake.Caller
	firstByte load.Histogram
	failures  int
}

// raiseLimits raises the limits of all models, so that the fleet sheds no requests:
// the measurement covers the cost of forwarding, not admission control.
func raiseLimits(p *chestnutstep.Publication) {
	const highLimit = 5000
	for i := range p.Models {
		m := &p.Models[i]
		m.Multiple, m.Floor, m.Slots, m.QueueLimit, m.ColdCap = 0, highLimit, highLimit, highLimit, highLimit
	}
}

func (b *Bench) start(ctx context.Context, engines int, base time.Duration) (*fleet.Fleet, *fleet.Process, error) {
	f := &fleet.Fleet{
		Bin: b.Bin, Dir: b.Dir, DomainCount: 1, EnginesPerDomain: engines, EntryCount: 1, Customize: raiseLimits,
		EngineFlags: []string{"--base", base.String(), "--slope", "0s", "--prefill", "0s", "--slots", "5000"},
	}
	if err := f.Start(ctx); err != nil {
		f.Close()
		return nil, nil, err
	}
	proxy, err := f.StartProxy(ctx)
	if err != nil {
		f.Close()
	}
	return f, proxy, err
}

func newPath(name, address string) *path {
	return &path{name: name, caller: &fake.Caller{
		Entries: []string{"http://" + address},
		Key:     fleet.Keys["darkroom"],
		Client:  fake.NewClient(),
	}}
}

func request(id string, chat fake.ChatRequest) fake.Request {
	chat.Note = id
	body, _ := json.Marshal(chat)
	return fake.Request{Profile: fleet.ProfileChat, Chat: id, IdempotencyKey: id, Body: body}
}

// stream is one background answer that stays open.
type stream struct {
	path    *path
	request fake.Request
	opened  sync.WaitGroup
	once    sync.Once
}

func (s *stream) run(ctx context.Context) {
	s.request.OnTokens = func(int) { s.once.Do(s.opened.Done) }
	s.path.caller.Do(ctx, s.request)
	s.once.Do(s.opened.Done)
}

// openStreams opens n streams on a path and waits until each has received a token or
// has ended.
func (p *path) openStreams(ctx context.Context, n int) {
	all := make([]*stream, n)
	for i := range all {
		s := &stream{path: p}
		s.request = request(fmt.Sprintf("%s-held-%d", p.name, i), fake.ChatRequest{Output: 1 << 20, Pace: heldPace})
		s.opened.Add(1)
		all[i] = s
		go s.run(ctx)
	}
	for _, s := range all {
		s.opened.Wait()
	}
}

// probe times the first byte of one short answer. Probes with a negative number are
// not recorded.
func (p *path) probe(ctx context.Context, n int) {
	res := p.caller.Do(ctx, request(fmt.Sprintf("%s-probe-%d", p.name, n), fake.ChatRequest{Output: 1}))
	if res.Kind != fake.Complete {
		p.failures++
		return
	}
	if n >= 0 {
		p.firstByte.Add(res.FirstByte)
	}
}

// FirstByte measures the time to the first byte on the direct, naive and fleet paths,
// with streams open on the last two, and the growth in memory of the processes. It
// returns an error if probes on the fleet path failed.
func (b *Bench) FirstByte(ctx context.Context) error {
	f, proxy, err := b.start(ctx, 1, tokenInterval)
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	paths := []*path{
		newPath("direct", f.Targets[0].Backend.Address),
		newPath("naive", proxy.Address),
		newPath("fleet", f.Entries[0].Address),
	}
	b.probe(ctx, paths, -warmProbes, 0)
	m := &usageSpan{processes: []*fleet.Process{proxy, f.Entries[0], f.Targets[0].Agent}}
	if err := m.begin(); err != nil {
		return err
	}
	paths[1].openStreams(ctx, b.Streams)
	paths[2].openStreams(ctx, b.Streams)
	b.probe(ctx, paths, 0, b.Probes)
	if err := m.end(); err != nil {
		return err
	}
	b.printFirstByte(paths)
	m.print(b.Out, b.Streams)
	return paths[2].check()
}

// probe alternates between the paths, so that variations in the load of the machine
// affect all of them alike.
func (b *Bench) probe(ctx context.Context, paths []*path, from, to int) {
	for i := from; i < to; i++ {
		for _, p := range paths {
			p.probe(ctx, i)
		}
	}
}

func (p *path) check() error {
	if p.failures > 0 {
		return errors.Newf("%d probes on path %s did not get a complete answer", p.failures, p.name)
	}
	return nil
}

func (b *Bench) printFirstByte(paths []*path) {
	fmt.Fprintf(b.Out, "first byte with %d streams open on each path, %d probes\n", b.Streams, b.Probes)
	for _, p := range paths {
		fmt.Fprintf(b.Out, "  %-8s median %v, p99 %v\n", p.name, p.firstByte.Quantile(0.5), p.firstByte.Quantile(0.99))
	}
	naivePath, fleetPath := &paths[1].firstByte, &paths[2].firstByte
	for _, q := range []float64{0.5, 0.99} {
		added := fleetPath.Quantile(q) - paths[0].firstByte.Quantile(q)
		ratio := float64(fleetPath.Quantile(q)) / float64(max(naivePath.Quantile(q), 1))
		fmt.Fprintf(b.Out, "  entry and agent add %v at quantile %v; %.2f times the naive path\n", added, q, ratio)
	}
}
