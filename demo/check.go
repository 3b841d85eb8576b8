package demo

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
)

// checkActions checks against the services' journals that every action ran exactly
// once, and that its repeated request got the same answer.
func (d *Demo) checkActions(ctx context.Context) error {
	ran := map[string]int{}
	for _, t := range d.Fleet.Targets {
		if t.Kind != chestnutstep.KindService {
			continue
		}
		all, err := t.Executions(ctx)
		if err != nil {
			return errors.Wrap(err, t.Name)
		}
		for _, e := range all {
			ran[e.Action]++
		}
	}
	for _, action := range d.actions {
		if n := ran[action.Name]; n != 1 {
			d.addViolation("%s ran %d times: %s, then %s", action.Name, n, describe(action.First), describe(action.Second))
			continue
		}
		if !action.SameAnswer || action.Times != 1 {
			d.addViolation("%s: the repeated request got a different answer: %s, then %s", action.Name, describe(action.First), describe(action.Second))
		}
	}
	return nil
}

func describe(r fake.Result) string {
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", r.Kind, r.Status, r.Code))
}

func (d *Demo) addViolation(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// check returns an *ErrViolated with all violations, or nil.
func (d *Demo) check() error {
	for _, k := range []fake.ResultKind{fake.Truncated, fake.Misdelivered, fake.Broken, fake.Unreachable} {
		if n := d.report.CountKind(k); n > 0 {
			d.addViolation("%d answers were %s: %v", n, k, d.report.Errors(1))
		}
	}
	if d.report.CountKind(fake.Complete) == 0 {
		d.addViolation("no answer was complete")
	}
	if d.startedWhileOut > 0 {
		d.addViolation("%d requests started in %s while it was out of service", d.startedWhileOut, movedDomain)
	}
	if d.startedAfterReturn == 0 {
		d.addViolation("%s received no requests after it was put back into service", movedDomain)
	}
	if n := d.sampler.crashCount(); n > 0 {
		d.addViolation("engines crashed %d times", n)
	}
	if len(d.violations) == 0 {
		return nil
	}
	return &ErrViolated{d.violations}
}

func (d *Demo) print() {
	d.report.Summary().Print(d.Out)
	d.line("largest over mean load", fmt.Sprintf("%.2f", d.sampler.skew()))
	d.line("engines that fell over", fmt.Sprint(d.sampler.crashCount()))
	d.line("actions, each sent twice", fmt.Sprint(len(d.actions)))
	d.line("actions that ran once", fmt.Sprint(d.countOnce()))
	d.line("domain out, in force after", d.publishTimes[0].Round(publishTimeRounding).String())
	d.line("new work there while out", fmt.Sprint(d.startedWhileOut))
	d.line("domain back, in force after", d.publishTimes[1].Round(publishTimeRounding).String())
	d.line("new work there since", fmt.Sprint(d.startedAfterReturn))
}

// publishTimeRounding is 10 ms in nanoseconds, finer than the polling interval of
// WaitPublished.
const publishTimeRounding = 1e7

func (d *Demo) countOnce() int {
	n := 0
	for _, action := range d.actions {
		if action.SameAnswer && action.Times == 1 {
			n++
		}
	}
	return n
}

func (d *Demo) line(name, value string) {
	fmt.Fprintf(d.Out, "%-34s %s\n", name, value)
}
