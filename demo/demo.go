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
	// warmupTime lets chats return a few times before the failure domain goes.
	warmupTime = 8 * time.Second
	// outTime is how long the failure domain stays out once all know.
	outTime = 6 * time.Second
	// backTime is how long the load goes on after it came back.
	backTime = 10 * time.Second
	// playTime bounds the load if the moves take longer than they should.
	playTime = 40 * time.Second
)

// movedDomain is the failure domain that leaves and returns.
const movedDomain = "domain-b"

// bookings is how many actions each part of the demo makes.
const bookings = 6

// Demo is one play. Set the fields, then call Run.
type Demo struct {
	Fleet *fleet.Fleet
	// Out takes the report.
	Out io.Writer
	// Seed of the load.
	Seed uint64

	report             load.Report
	sampler            sampler
	actions            []load.ActionResult
	violations         []string
	publishTimes       []time.Duration
	startedWhileOut    int // new work in the domain after it went out
	startedAfterReturn int // new work there after it came back
	playDone           chan struct{}
}

// ErrViolated says which promises did not hold.
type ErrViolated struct {
	Violations []string
}

func (e *ErrViolated) Error() string {
	return fmt.Sprintf("%d promises broke: %q", len(e.Violations), e.Violations)
}

// IsErrViolated reports whether err says that promises did not hold.
func IsErrViolated(err error) bool {
	var e *ErrViolated
	return errors.As(err, &e)
}

// Run plays the demo on a fleet that has started, and prints the report.
func (d *Demo) Run(ctx context.Context) error {
	d.playDone = make(chan struct{})
	d.sampler = sampler{fleet: d.Fleet, done: make(chan struct{})}
	playCtx, stop := context.WithTimeout(ctx, playTime)
	defer stop()
	go d.playChats(playCtx)
	go d.sampler.run(playCtx)
	err := d.moveDomain(ctx)
	stop()
	<-d.playDone
	<-d.sampler.done
	if err != nil {
		return err
	}
	if err := d.checkActions(ctx); err != nil {
		return err
	}
	d.print()
	return d.check()
}

// playChats plays the chats.
func (d *Demo) playChats(ctx context.Context) {
	defer close(d.playDone)
	p := load.Player{
		Entries:  d.Fleet.URLs(),
		Keys:     fleet.Keys,
		Profile:  fleet.ProfileChat,
		MaxTries: 6,
		Report:   &d.report,
	}
	p.Play(ctx, load.Plan{
		Seed:          d.Seed,
		Chats:         60,
		Turns:         40,
		Pause:         time.Second,
		StartSpread:   2 * time.Second,
		Workspaces:    []string{"darkroom", "prairie", "archive"},
		Skew:          1,
		HistoryTokens: 400,
		OutputTokens:  40,
		CancelRatio:   0.5,
	}.GenerateChats())
}

// moveDomain books, takes the failure domain out, books, brings it back, and books.
func (d *Demo) moveDomain(ctx context.Context) error {
	if err := d.book(ctx, "before"); err != nil {
		return err
	}
	pause(ctx, warmupTime)
	if err := d.publish(ctx, true); err != nil {
		return err
	}
	atOut, err := d.countStarted(ctx, movedDomain)
	if err != nil {
		return err
	}
	if err := d.book(ctx, "while"); err != nil {
		return err
	}
	pause(ctx, outTime)
	atBack, err := d.countStarted(ctx, movedDomain)
	if err != nil {
		return err
	}
	d.startedWhileOut = atBack - atOut
	if err := d.publish(ctx, false); err != nil {
		return err
	}
	if err := d.book(ctx, "after"); err != nil {
		return err
	}
	pause(ctx, backTime)
	atEnd, err := d.countStarted(ctx, movedDomain)
	d.startedAfterReturn = atEnd - atBack
	return err
}

func (d *Demo) publish(ctx context.Context, out bool) error {
	if err := d.Fleet.SetDomainOut(ctx, movedDomain, out); err != nil {
		return err
	}
	elapsed, err := d.Fleet.WaitPublished(ctx)
	d.publishTimes = append(d.publishTimes, elapsed)
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
		action, err := a.Do(ctx, fmt.Sprintf("bay-%s-%d", part, i), i)
		if err != nil {
			return err
		}
		d.actions = append(d.actions, action)
	}
	return nil
}

// countStarted counts the requests that engines of a failure domain began.
func (d *Demo) countStarted(ctx context.Context, domain string) (int, error) {
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
