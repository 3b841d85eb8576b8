package admin

import (
	"io"
	"text/tabwriter"

	"chestnutstep.example/chestnutstep/audit"
)

// Trail writes audit records as a page for a terminal.
func Trail(w io.Writer, records []audit.Record) error {
	p := &pager{w: tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)}
	p.records(records)
	return p.w.Flush()
}
