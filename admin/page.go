package admin

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"chestnutstep.example/chestnutstep/audit"
)

// Page writes the status as a page for a terminal. Now is the reader's
// clock, for ages.
func (s *Status) Page(w io.Writer, now time.Time) error {
	p := &pager{w: tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	p.head(s, now)
	for _, d := range s.Domains {
		p.domain(d)
	}
	p.suspects(s.Suspects)
	p.changes(s.Changes)
	return p.w.Flush()
}

type pager struct{ w *tabwriter.Writer }

// printf leaves errors to Flush, which reports the first.
func (p *pager) printf(format string, a ...any) {
	_, _ = fmt.Fprintf(p.w, format, a...)
}

func (p *pager) head(s *Status, now time.Time) {
	p.printf("%s %s on host %s, domain %s, region %s, up %s\n",
		s.Role, s.Process, s.Host, s.Domain, s.Region, age(now, s.Started))
	if s.Ready {
		p.printf("ready, %d requests in progress\n", s.Streams)
	} else {
		p.printf("not ready (%s), %d requests in progress\n", s.Why, s.Streams)
	}
	pub := s.Publication
	if pub.Version == 0 {
		p.printf("no publication in force\n")
	} else {
		p.printf("publication %d in force for %s\n", pub.Version, age(now, pub.Since))
	}
	if pub.Refused != 0 {
		p.printf("publication %d was refused: %s\n", pub.Refused, pub.Why)
	}
	if pub.Silent {
		p.printf("the configuration service does not answer\n")
	}
	if s.Alone {
		p.printf("no peer answers\n")
	}
}

func (p *pager) domain(d Domain) {
	state := "in service"
	if d.Out {
		state = "OUT"
	}
	p.printf("\ndomain %s (%s): %s\n", d.Name, d.Region, state)
	if len(d.Targets) == 0 {
		return
	}
	p.printf("target\thost\tmodel\trunning\twaiting\tcap\tweight\tmean\tstate\tgets nothing because\n")
	for _, t := range d.Targets {
		p.target(t)
	}
}

func (p *pager) target(t Target) {
	if t.Load == nil {
		p.printf("%s\t%s\t%s\t-\t-\t-\t-\t-\t-\t%s\n", t.Name, t.Host, t.Model, dash(t.Why))
		return
	}
	mean := "-"
	if t.Mean != nil {
		mean = fmt.Sprintf("%.1f", t.Mean.Load)
	}
	p.printf("%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%s\t%s\t%s\n", t.Name, t.Host, t.Model,
		t.Load.Running, t.Load.Waiting, t.Load.Cap, t.Load.Weight, mean, warmth(t), dash(t.Why))
}

func warmth(t Target) string {
	state := "warm"
	if t.Load.Cold {
		state = "cold"
	}
	if t.Load.Leaving {
		state += ", leaving"
	}
	return state
}

func (p *pager) suspects(list []Suspect) {
	if len(list) == 0 {
		return
	}
	p.printf("\nsuspect contents\ncontent\tstate\tcrashed\n")
	for _, s := range list {
		state := "runs alone"
		if s.Condemned {
			state = "condemned"
		}
		p.printf("%s\t%s\t%s\n", s.Content, state, strings.Join(s.Crashed, ", "))
	}
}

func (p *pager) changes(list []audit.Record) {
	if len(list) == 0 {
		return
	}
	p.printf("\nlast changes\n")
	p.records(list)
}

func (p *pager) records(list []audit.Record) {
	p.printf("seq\ttime\tversion\tkind\tsubject\tbefore\tafter\tcause\n")
	for _, r := range list {
		p.printf("%d\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", r.Seq, r.Time.Format(time.RFC3339),
			r.Version, r.Kind, r.Subject, dash(r.Before), dash(r.After), dash(r.Cause))
	}
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// age is the time since a moment, in whole seconds.
func age(now, then time.Time) time.Duration {
	return now.Sub(then).Round(time.Second)
}
