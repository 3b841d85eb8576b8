package bench

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fleet"
)

// Scale measures a fleet of many real processes with a publication of the
// planned size: what small runs can't show is how a change spreads, and what a
// process pays at rest for having many peers. Set the fields, then call Run.
type Scale struct {
	// Bin is the directory with the programs, Dir takes settings and logs.
	Bin, Dir string
	// Agents, each beside an engine, and Entries.
	Agents, Entries int
	// Changes is how many publications are timed.
	Changes int
	// Rest is how long the fleet is watched while nothing changes.
	Rest time.Duration
	// Pad is what fills the publication up to the planned size.
	Pad string
	// Out takes the figures.
	Out io.Writer
}

const (
	// maxScaleProcesses bounds the run: the machine is shared, and a host number
	// of the loopback network is one byte.
	maxScaleProcesses = 200
	scaleDomains      = 6
	// scaleSettleTime lets what the start left behind pass before the rest is timed.
	scaleSettleTime = 10 * time.Second
)

// check refuses what would be too large or could not be read.
func (s *Scale) check() error {
	n := 1 + 2*s.Agents + s.Entries
	if n > maxScaleProcesses {
		return errors.Newf("%d processes: at most %d", n, maxScaleProcesses)
	}
	if s.Agents < scaleDomains || s.Agents%scaleDomains != 0 || s.Entries < 1 || s.Changes < 1 {
		return errors.Newf("needs an entry, a change and a multiple of %d agents", scaleDomains)
	}
	if !slices.Contains([]string{PadNone, PadWorkspaces, PadAll}, s.Pad) {
		return errors.Newf("unknown padding %q", s.Pad)
	}
	return nil
}

// Run starts the fleet, measures and prints, and ends the fleet.
func (s *Scale) Run(ctx context.Context) error {
	if err := s.check(); err != nil {
		return err
	}
	f := &fleet.Fleet{
		Bin: s.Bin, Dir: s.Dir, DomainCount: scaleDomains, EnginesPerDomain: s.Agents / scaleDomains, EntryCount: s.Entries,
	}
	if s.Pad != PadNone {
		f.Customize = padWorkspaces
	}
	defer f.Close()
	start := time.Now()
	if err := f.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "%d agents and %d entries ready after %v\n", s.Agents, s.Entries, time.Since(start).Round(time.Millisecond))
	if err := s.addPadding(ctx, f); err != nil {
		return err
	}
	if err := s.measureRest(ctx, f); err != nil {
		return err
	}
	return s.measureChanges(ctx, f)
}

// addPadding publishes what fills up the targets, if asked for.
func (s *Scale) addPadding(ctx context.Context, f *fleet.Fleet) error {
	if s.Pad == PadAll {
		if err := f.Publish(ctx, padTargets); err != nil {
			return err
		}
		d, err := f.WaitPublished(ctx)
		if err != nil {
			return err
		}
		fmt.Fprintf(s.Out, "all targets added: held by all after %v\n", d.Round(time.Millisecond))
	}
	p := f.Publication
	fmt.Fprintf(s.Out, "%d targets, %d workspaces published\n", len(p.Targets), len(p.Workspaces))
	return nil
}

// measureRest watches the fleet while nothing changes and nobody calls.
func (s *Scale) measureRest(ctx context.Context, f *fleet.Fleet) error {
	if err := wait(ctx, scaleSettleTime); err != nil {
		return err
	}
	var before, after sample
	if err := before.begin(ctx, f); err != nil {
		return err
	}
	if err := wait(ctx, s.Rest); err != nil {
		return err
	}
	if err := after.end(ctx, f); err != nil {
		return err
	}
	after.print(s.Out, &before)
	return nil
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// changeTime is how one change reached the processes.
type changeTime struct {
	// all is from before its first part was written until the last process held
	// it; last is from the first process to the last.
	all, last time.Duration
}

// measureChanges publishes one change after the other and times each. The processes
// say themselves since when they hold it, so looking at them costs no accuracy.
func (s *Scale) measureChanges(ctx context.Context, f *fleet.Fleet) error {
	var all, last []time.Duration
	for range s.Changes {
		c, err := s.measureChange(ctx, f)
		if err != nil {
			return err
		}
		all, last = append(all, c.all), append(last, c.last)
	}
	slices.Sort(all)
	slices.Sort(last)
	fmt.Fprintf(s.Out, "%d changes: all hold one %v after its first part was written (worst %v), %v after the first process (worst %v)\n",
		s.Changes, median(all), all[len(all)-1], median(last), last[len(last)-1])
	return nil
}

func median(d []time.Duration) time.Duration { return d[len(d)/2] }

func (s *Scale) measureChange(ctx context.Context, f *fleet.Fleet) (changeTime, error) {
	start := time.Now()
	err := f.Publish(ctx, func(p *chestnutstep.Publication) {
		p.Targets[0].Out = !p.Targets[0].Out
	})
	if err != nil {
		return changeTime{}, err
	}
	if _, err := f.WaitPublished(ctx); err != nil {
		return changeTime{}, err
	}
	var first, last time.Time
	for _, p := range processes(f) {
		st, err := p.Status(ctx)
		if err != nil {
			return changeTime{}, errors.Wrap(err, p.Name)
		}
		since := st.Publication.Since
		if first.IsZero() || since.Before(first) {
			first = since
		}
		if since.After(last) {
			last = since
		}
	}
	return changeTime{last.Sub(start).Round(time.Millisecond), last.Sub(first).Round(time.Millisecond)}, nil
}

// processes lists agents, then entries.
func processes(f *fleet.Fleet) []*fleet.Process {
	var out []*fleet.Process
	for _, t := range f.Targets {
		out = append(out, t.Agent)
	}
	return append(out, f.Entries...)
}
