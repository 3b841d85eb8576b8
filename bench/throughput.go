package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/fleet"
)

// Engines of the throughput measurement: several, so that the batch loop of one fake
// engine is not the bottleneck. Each answer takes about one second.
const (
	loadEngines = 4
	loadStep    = 5 * time.Millisecond
)

// loadRun is an open-loop load generator: it sends requests at a fixed rate without
// waiting for answers, so that a slow path does not reduce the load on itself.
type loadRun struct {
	path       *path
	rate       int
	tokens     int
	sent       int
	inFlight   sync.WaitGroup
	complete   atomic.Int64
	failed     atomic.Int64
	tokensRead atomic.Int64
}

func (l *loadRun) play(ctx context.Context, d time.Duration) {
	start := time.Now()
	total := int(d.Seconds() * float64(l.rate))
	for i := range total {
		l.sent++
		dueAt := start.Add(time.Duration(i) * time.Second / time.Duration(l.rate))
		time.Sleep(time.Until(dueAt))
		l.inFlight.Add(1)
		go l.run(ctx, l.sent)
	}
}

func (l *loadRun) run(ctx context.Context, n int) {
	defer l.inFlight.Done()
	last := 0
	r := request(fmt.Sprintf("%s-flood-%d", l.path.name, n), fake.ChatRequest{Output: l.tokens})
	r.OnTokens = func(tokens int) {
		l.tokensRead.Add(int64(tokens - last))
		last = tokens
	}
	if l.path.caller.Do(ctx, r).Kind != fake.Complete {
		l.failed.Add(1)
		return
	}
	l.complete.Add(1)
}

// Throughput sends the same load over the naive path and then over the fleet, and
// compares the CPU time of proxy and entry.
func (b *Bench) Throughput(ctx context.Context) error {
	f, proxy, err := b.start(ctx, loadEngines, loadStep)
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(b.Out, "load of %d requests/s with %d tokens each for %v\n", b.Rate, b.Tokens, b.Time)
	naiveCPU, err := b.runLoad(ctx, newPath("naive", proxy.Address), []*fleet.Process{proxy})
	if err != nil {
		return err
	}
	fleetProcesses := []*fleet.Process{f.Entries[0]}
	for _, t := range f.Targets {
		fleetProcesses = append(fleetProcesses, t.Agent)
	}
	fleetCPU, err := b.runLoad(ctx, newPath("fleet", f.Entries[0].Address), fleetProcesses)
	if err != nil {
		return err
	}
	fmt.Fprintf(b.Out, "  an entry takes %.2f times the CPU time of the naive path\n", fleetCPU/max(naiveCPU, 0.001))
	return nil
}

// runLoad sends the load over a path and returns the average number of CPU cores used
// by the first of the processes. The first two seconds of load are not measured,
// because they include opening connections.
func (b *Bench) runLoad(ctx context.Context, p *path, ps []*fleet.Process) (float64, error) {
	l := &loadRun{path: p, rate: b.Rate, tokens: b.Tokens}
	m := &usageSpan{processes: ps}
	l.play(ctx, 2*time.Second)
	if err := m.begin(); err != nil {
		return 0, err
	}
	start, tokens, complete := time.Now(), l.tokensRead.Load(), l.complete.Load()
	l.play(ctx, b.Time)
	elapsed := time.Since(start).Seconds()
	tokens, complete = l.tokensRead.Load()-tokens, l.complete.Load()-complete
	if err := m.end(); err != nil {
		return 0, err
	}
	l.inFlight.Wait()
	fmt.Fprintf(b.Out, "  %-8s %.0f answers/s, %.0f tokens/s, %d not whole\n",
		p.name, float64(complete)/elapsed, float64(tokens)/elapsed, l.failed.Load())
	for i, q := range ps {
		cores := (m.after[i].CPU - m.before[i].CPU).Seconds() / elapsed
		fmt.Fprintf(b.Out, "    %-16s %.2f cores, %d MB resident\n", q.Name, cores, m.after[i].Resident>>20)
	}
	return (m.after[0].CPU - m.before[0].CPU).Seconds() / elapsed, nil
}
