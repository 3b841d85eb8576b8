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

// Engines of the throughput load: several, so that one stand-in's batch loop
// is not what is measured; each answer takes about a second.
const (
	loadEngines = 4
	loadStep    = 5 * time.Millisecond
)

// flood sends requests at a fixed rate, whether or not answers come back: a
// slow path must not slow down the load that it is measured under.
type flood struct {
	path   *path
	rate   int
	tokens int
	sent   int
	active sync.WaitGroup
	whole  atomic.Int64
	failed atomic.Int64
	got    atomic.Int64
}

func (l *flood) play(ctx context.Context, d time.Duration) {
	began := time.Now()
	total := int(d.Seconds() * float64(l.rate))
	for i := range total {
		l.sent++
		due := began.Add(time.Duration(i) * time.Second / time.Duration(l.rate))
		time.Sleep(time.Until(due))
		l.active.Add(1)
		go l.run(ctx, l.sent)
	}
}

func (l *flood) run(ctx context.Context, n int) {
	defer l.active.Done()
	last := 0
	r := request(fmt.Sprintf("%s-flood-%d", l.path.name, n), fake.Ask{Output: l.tokens})
	r.Seen = func(tokens int) {
		l.got.Add(int64(tokens - last))
		last = tokens
	}
	if l.path.caller.Do(ctx, r).Kind != fake.Whole {
		l.failed.Add(1)
		return
	}
	l.whole.Add(1)
}

// Throughput plays the same load over the fleet and over the naive path, one
// after the other, and compares CPU time.
func (b *Bench) Throughput(ctx context.Context) error {
	f, pass, err := b.start(ctx, loadEngines, loadStep)
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(b.Out, "load of %d requests/s with %d tokens each for %v\n", b.Rate, b.Tokens, b.Time)
	naive, err := b.flood(ctx, newPath("naive", pass.Address), []*fleet.Process{pass})
	if err != nil {
		return err
	}
	door := []*fleet.Process{f.Doors[0]}
	for _, t := range f.Targets {
		door = append(door, t.Agent)
	}
	own, err := b.flood(ctx, newPath("fleet", f.Doors[0].Address), door)
	if err != nil {
		return err
	}
	fmt.Fprintf(b.Out, "  an entry takes %.2f times the CPU time of the naive path\n", own/max(naive, 0.001))
	return nil
}

// flood plays the load on a path and returns the cores that its first process
// used. The first second is left out: it opens connections.
func (b *Bench) flood(ctx context.Context, p *path, ps []*fleet.Process) (float64, error) {
	l := &flood{path: p, rate: b.Rate, tokens: b.Tokens}
	m := &memory{processes: ps}
	l.play(ctx, 2*time.Second)
	if err := m.begin(); err != nil {
		return 0, err
	}
	began, tokens, whole := time.Now(), l.got.Load(), l.whole.Load()
	l.play(ctx, b.Time)
	took := time.Since(began).Seconds()
	tokens, whole = l.got.Load()-tokens, l.whole.Load()-whole
	if err := m.end(); err != nil {
		return 0, err
	}
	l.active.Wait()
	fmt.Fprintf(b.Out, "  %-8s %.0f answers/s, %.0f tokens/s, %d not whole\n",
		p.name, float64(whole)/took, float64(tokens)/took, l.failed.Load())
	for i, q := range ps {
		cores := (m.after[i].CPU - m.before[i].CPU).Seconds() / took
		fmt.Fprintf(b.Out, "    %-16s %.2f cores, %d MB resident\n", q.Name, cores, m.after[i].Resident>>20)
	}
	return (m.after[0].CPU - m.before[0].CPU).Seconds() / took, nil
}
