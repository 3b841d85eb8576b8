package demo

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
)

// evidence compares what callers were told with the services' own logs.
func (d *Demo) evidence(ctx context.Context) error {
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
	for _, deed := range d.deeds {
		if n := ran[deed.Name]; n != 1 {
			d.fail("%s ran %d times: %s, then %s", deed.Name, n, told(deed.First), told(deed.Second))
			continue
		}
		if !deed.Same || deed.Times != 1 {
			d.fail("%s: its repeat got another answer: %s, then %s", deed.Name, told(deed.First), told(deed.Second))
		}
	}
	return nil
}

func told(r fake.Result) string {
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", r.Kind, r.Status, r.Code))
}

func (d *Demo) fail(format string, args ...any) {
	d.failed = append(d.failed, fmt.Sprintf(format, args...))
}

// verdict lists the promises that broke.
func (d *Demo) verdict() error {
	for _, k := range []fake.Kind{fake.Short, fake.Foreign, fake.Broken, fake.Absent} {
		if n := d.report.Kind(k); n > 0 {
			d.fail("%d answers were %s: %v", n, k, d.report.Errors(1))
		}
	}
	if d.report.Kind(fake.Whole) == 0 {
		d.fail("no answer was whole")
	}
	if d.fresh > 0 {
		d.fail("%d requests began in %s after it went out", d.fresh, moved)
	}
	if d.again == 0 {
		d.fail("%s got no work after it came back", moved)
	}
	if n := d.sampler.fell(); n > 0 {
		d.fail("engines fell over %d times", n)
	}
	if len(d.failed) == 0 {
		return nil
	}
	return &ErrBroken{d.failed}
}

func (d *Demo) print() {
	d.report.Summary().Print(d.Out)
	d.line("largest over mean load", fmt.Sprintf("%.2f", d.sampler.skew()))
	d.line("engines that fell over", fmt.Sprint(d.sampler.fell()))
	d.line("actions, each sent twice", fmt.Sprint(len(d.deeds)))
	d.line("actions that ran once", fmt.Sprint(d.once()))
	d.line("domain out, in force after", d.settled[0].Round(settledDigits).String())
	d.line("new work there while out", fmt.Sprint(d.fresh))
	d.line("domain back, in force after", d.settled[1].Round(settledDigits).String())
	d.line("new work there since", fmt.Sprint(d.again))
}

// settledDigits is finer than the polling behind the figure.
const settledDigits = 1e7

func (d *Demo) once() int {
	n := 0
	for _, deed := range d.deeds {
		if deed.Same && deed.Times == 1 {
			n++
		}
	}
	return n
}

func (d *Demo) line(name, value string) {
	fmt.Fprintf(d.Out, "%-34s %s\n", name, value)
}
