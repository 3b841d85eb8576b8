package admin

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"chestnutstep.example/chestnutstep/audit"
)

// WriteText writes the status as a page for a terminal. Ages are computed with now, the
// reader's clock.
func (s *Status) WriteText(w io.Writer, now time.Time) error {
	p := &textWriter{w: tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	p.header(s, now)
	for _, d := range s.Domains {
		p.domain(d)
	}
	p.suspects(s.Suspects)
	p.changes(s.Changes)
	return p.w.Flush()
}

type textWriter struct{ w *tabwriter.Writer }

// printf ignores errors, as Flush returns the first one.
func (p *textWriter) printf(format string, a ...any) {
	_, _ = fmt.Fprintf(p.w, format, a...)
}

func (p *textWriter) header(s *Status, now time.Time) {
	p.printf("%s %s on host %s, domain %s, region %s, up %s\n",
		s.Role, s.Process, s.Host, s.Domain, s.Region, age(now, s.Started))
	if s.Ready {
		p.printf("ready, %d requests in progress\n", s.OpenRequests)
	} else {
		p.printf("not ready (%s), %d requests in progress\n", s.NotReadyReason, s.OpenRequests)
	}
	pub := s.Publication
	if pub.Version == 0 {
		p.printf("no publication in force\n")
	} else {
		p.printf("publication %d in force for %s\n", pub.Version, age(now, pub.Since))
	}
	if pub.RefusedVersion != 0 {
		p.printf("publication %d was refused: %s\n", pub.RefusedVersion, pub.RefusalReason)
	}
	if pub.PlatformUnresponsive {
		p.printf("the configuration service does not answer\n")
	}
	if s.NoPeers {
		p.printf("no peer answers\n")
	}
}

func (p *textWriter) domain(d Domain) {
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

func (p *textWriter) target(t Target) {
	if t.Load == nil {
		p.printf("%s\t%s\t%s\t-\t-\t-\t-\t-\t-\t%s\n", t.Name, t.Host, t.Model, orDash(t.NoWorkReason))
		return
	}
	mean := "-"
	if t.Mean != nil {
		mean = fmt.Sprintf("%.1f", t.Mean.Load)
	}
	p.printf("%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%s\t%s\t%s\n", t.Name, t.Host, t.Model,
		t.Load.Running, t.Load.Waiting, t.Load.Cap, t.Load.Weight, mean, targetState(t), orDash(t.NoWorkReason))
}

func targetState(t Target) string {
	state := "warm"
	if t.Load.Cold {
		state = "cold"
	}
	if t.Load.Leaving {
		state += ", leaving"
	}
	return state
}

func (p *textWriter) suspects(list []Suspect) {
	if len(list) == 0 {
		return
	}
	p.printf("\nsuspect contents\ncontent\tstate\tcrashed\n")
	for _, s := range list {
		state := "runs alone"
		if s.Condemned {
			state = "condemned"
		}
		p.printf("%s\t%s\t%s\n", s.Content, state, strings.Join(s.CrashedTargets, ", "))
	}
}

func (p *textWriter) changes(list []audit.Record) {
	if len(list) == 0 {
		return
	}
	p.printf("\nlast changes\n")
	p.records(list)
}

func (p *textWriter) records(list []audit.Record) {
	p.printf("seq\ttime\tversion\tkind\tsubject\tbefore\tafter\tcause\n")
	for _, r := range list {
		p.printf("%d\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", r.Seq, r.Time.Format(time.RFC3339),
			r.Version, r.Kind, r.Subject, orDash(r.Before), orDash(r.After), orDash(r.Cause))
	}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// age is rounded to seconds.
func age(now, since time.Time) time.Duration {
	return now.Sub(since).Round(time.Second)
}
