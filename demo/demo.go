// Package demo runs the main use case on a fleet of separate processes: streamed
// chats of several turns, some of them canceled, bookings that are repeated through
// another entry, and a failure domain that is taken out of service and put back. It
// checks the guarantees of the fleet against the records of callers and targets and
// prints a report.
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

// Durations of the parts of the demo, which must end within a minute.
const (
	// warmupTime is the time before the failure domain is taken out: enough for a few
	// turns of each chat.
	warmupTime = 8 * time.Second
	// outTime is how long the failure domain stays out after the publication is in
	// force in all processes.
	outTime = 6 * time.Second
	// backTime is how long the load continues after the failure domain is back.
	backTime = 10 * time.Second
	// playTime is the maximum duration of the load if publishing takes too long.
	playTime = 40 * time.Second
)

// movedDomain is the failure domain that is taken out and put back.
const movedDomain = "domain-b"

// bookings is the number of actions in each part of the demo.
const bookings = 6

// Demo is one run. Set the exported fields, then call Run.
type Demo struct {
	// Fleet is the fleet to use; it must be started.
	Fleet *fleet.Fleet
	// Out receives the report.
	Out io.Writer
	// Seed is the seed of the load.
	Seed uint64

	report             load.Report
	sampler            sampler
	actions            []load.ActionResult
	violations         []string
	publishTimes       []time.Duration
	startedWhileOut    int // requests started in movedDomain while it was out
	startedAfterReturn int // requests started in movedDomain after it was put back
	playDone           chan struct{}
}

// ErrViolated is returned when guarantees of the fleet were violated.
type ErrViolated struct {
	// Violations describes each violation.
	Violations []string
}

func (e *ErrViolated) Error() string {
	return fmt.Sprintf("%d guarantees violated: %q", len(e.Violations), e.Violations)
}

// IsErrViolated reports whether err is or wraps an ErrViolated.
func IsErrViolated(err error) bool {
	var e *ErrViolated
	return errors.As(err, &e)
}

// Run runs the demo on a started fleet and prints the report. It returns an
// *ErrViolated if guarantees were violated.
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

// playChats generates the chat load until ctx is canceled or all chats have ended.
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

// moveDomain takes the failure domain out of service and puts it back, and makes
// bookings before, in between and after.
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

// book makes bookings and repeats each of them through the other entry.
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

// countStarted returns the number of requests started so far by the engines of a
// failure domain.
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
