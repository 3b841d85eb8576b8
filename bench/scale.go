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

// Scale measures a fleet of many real processes with a publication of the planned
// size: how fast a change reaches all processes, and what many peers cost an idle
// process. Small fleets show neither. Set the fields, then call Run.
type Scale struct {
	// Bin is the directory of the programs; Dir is the directory for settings and logs.
	Bin, Dir string
	// Agents is the number of agents, each with an engine; Entries is the number of
	// entries.
	Agents, Entries int
	// Changes is the number of timed publications.
	Changes int
	// Rest is the duration of the measurement of the idle fleet.
	Rest time.Duration
	// Pad is the kind of padding: PadNone, PadWorkspaces or PadAll.
	Pad string
	// Out receives the results.
	Out io.Writer
}

const (
	// maxScaleProcesses is the maximum number of processes of a run: the machine is
	// shared, and the host number in a loopback address is one byte.
	maxScaleProcesses = 200
	scaleDomains      = 6
	// scaleSettleTime is the time for the work after the start to end before the idle
	// fleet is measured.
	scaleSettleTime = 10 * time.Second
)

// check returns an error if the fleet would be too large or a field is invalid.
func (s *Scale) check() error {
	n := 1 + 2*s.Agents + s.Entries
	if n > maxScaleProcesses {
		return errors.Newf("%d processes exceed the maximum of %d", n, maxScaleProcesses)
	}
	if s.Agents < scaleDomains || s.Agents%scaleDomains != 0 || s.Entries < 1 || s.Changes < 1 {
		return errors.Newf("want at least one entry, at least one change and a multiple of %d agents", scaleDomains)
	}
	if !slices.Contains([]string{PadNone, PadWorkspaces, PadAll}, s.Pad) {
		return errors.Newf("unknown padding %q", s.Pad)
	}
	return nil
}

// Run starts the fleet, takes and prints the measurements, and stops the fleet.
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

// addPadding publishes the additional targets if Pad is PadAll, and prints the size of
// the publication.
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

// measureRest measures the fleet without changes and without requests.
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

// changeTime holds the times in which one change reached the processes.
type changeTime struct {
	// all is the time from before the first part is written until the last process
	// holds the change; last is the time from the first process to the last.
	all, last time.Duration
}

// measureChanges publishes changes one after another and times each. Every process
// reports the time since which it holds a publication, so the polling interval does
// not affect the result.
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

// processes returns the agents, followed by the entries.
func processes(f *fleet.Fleet) []*fleet.Process {
	var out []*fleet.Process
	for _, t := range f.Targets {
		out = append(out, t.Agent)
	}
	return append(out, f.Entries...)
}
