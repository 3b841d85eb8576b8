// Package demo plays the main job on a fleet of separate processes and checks
// from the far end that the promises held: streamed chats that return and
// cancel, bookings repeated through another entry, and a failure domain that is
// taken out and brought back.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/fleet"
	"chestnutstep.example/chestnutstep/load"
)

// Times of the demo, which has to end within a minute.
const (
	// warmTime lets chats return a few times before the failure domain goes.
	warmTime = 8 * time.Second
	// outTime is how long the failure domain stays out once all know.
	outTime = 6 * time.Second
	// backTime is how long the load goes on after it came back.
	backTime = 10 * time.Second
	// playTime bounds the load if the moves take longer than they should.
	playTime = 40 * time.Second
)

// moved is the failure domain that leaves and returns.
const moved = "domain-b"

// bookings is how many actions each part of the demo makes.
const bookings = 6

// Demo is one play. Set the fields, then call Run.
type Demo struct {
	Fleet *fleet.Fleet
	// Out takes the report.
	Out io.Writer
	// Seed of the load.
	Seed uint64

	report  load.Report
	sampler sampler
	deeds   []load.Deed
	failed  []string
	settled []time.Duration
	fresh   int // new work in the domain after it went out
	again   int // new work there after it came back
	played  chan struct{}
}

// ErrBroken says which promises did not hold.
type ErrBroken struct {
	Promises []string
}

func (e *ErrBroken) Error() string {
	return fmt.Sprintf("%d promises broke: %q", len(e.Promises), e.Promises)
}

// IsErrBroken reports whether err says that promises did not hold.
func IsErrBroken(err error) bool {
	var e *ErrBroken
	return errors.As(err, &e)
}

// Run plays the demo on a fleet that has started, and prints the report.
func (d *Demo) Run(ctx context.Context) error {
	d.played = make(chan struct{})
	d.sampler = sampler{fleet: d.Fleet, done: make(chan struct{})}
	playing, stop := context.WithTimeout(ctx, playTime)
	defer stop()
	go d.run(playing)
	go d.sampler.run(playing)
	err := d.move(ctx)
	stop()
	<-d.played
	<-d.sampler.done
	if err != nil {
		return err
	}
	if err := d.evidence(ctx); err != nil {
		return err
	}
	d.print()
	return d.verdict()
}

// run plays the chats.
func (d *Demo) run(ctx context.Context) {
	defer close(d.played)
	p := load.Player{
		Entries: d.Fleet.URLs(),
		Keys:    fleet.Keys,
		Profile: fleet.ProfileChat,
		Tries:   6,
		Report:  &d.report,
	}
	p.Play(ctx, load.Plan{
		Seed:       d.Seed,
		Chats:      60,
		Turns:      40,
		Pause:      time.Second,
		Start:      2 * time.Second,
		Workspaces: []string{"darkroom", "prairie", "archive"},
		Skew:       1,
		History:    400,
		Output:     40,
		Cancel:     0.5,
	}.Record())
}

// move books, takes the failure domain out, books, brings it back, and books.
func (d *Demo) move(ctx context.Context) error {
	if err := d.book(ctx, "before"); err != nil {
		return err
	}
	pause(ctx, warmTime)
	if err := d.publish(ctx, true); err != nil {
		return err
	}
	atOut, err := d.started(ctx, moved)
	if err != nil {
		return err
	}
	if err := d.book(ctx, "while"); err != nil {
		return err
	}
	pause(ctx, outTime)
	atBack, err := d.started(ctx, moved)
	if err != nil {
		return err
	}
	d.fresh = atBack - atOut
	if err := d.publish(ctx, false); err != nil {
		return err
	}
	if err := d.book(ctx, "after"); err != nil {
		return err
	}
	pause(ctx, backTime)
	atEnd, err := d.started(ctx, moved)
	d.again = atEnd - atBack
	return err
}

func (d *Demo) publish(ctx context.Context, out bool) error {
	if err := d.Fleet.Out(ctx, moved, out); err != nil {
		return err
	}
	took, err := d.Fleet.Settled(ctx)
	d.settled = append(d.settled, took)
	return err
}

// book makes bookings and repeats each through the other entry.
func (d *Demo) book(ctx context.Context, part string) error {
	a := load.Actor{
		Caller:  &fake.Caller{Entries: d.Fleet.URLs(), Key: fleet.Keys["darkroom"]},
		Profile: fleet.ProfileBook,
		Path:    "/bookings",
	}
	for i := range bookings {
		deed, err := a.Do(ctx, fmt.Sprintf("bay-%s-%d", part, i), i)
		if err != nil {
			return err
		}
		d.deeds = append(d.deeds, deed)
	}
	return nil
}

// started counts the requests that engines of a failure domain began.
func (d *Demo) started(ctx context.Context, domain string) (int, error) {
	n := 0
	for _, t := range d.Fleet.Targets {
		if t.Domain != domain || t.Kind != chestnutstep.KindEngine {
			continue
		}
		all, err := t.Executions(ctx)
		if err != nil {
			return 0, errors.Wrap(err, t.Name)
		}
		n += len(all)
	}
	return n, nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
