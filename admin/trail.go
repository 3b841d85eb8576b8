package admin

import (
	"io"
	"text/tabwriter"

	"chestnutstep.example/chestnutstep/audit"
)

// WriteTrail writes audit records as a page for a terminal.
func WriteTrail(w io.Writer, records []audit.Record) error {
	p := &textWriter{w: tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	p.records(records)
	return p.w.Flush()
}
