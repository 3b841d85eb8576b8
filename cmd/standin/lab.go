package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/trial"
)

// lab are the arguments of the lab subcommand.
type lab struct {
	seed    uint64
	minutes int
	out     io.Writer
}

func labCommand() command {
	c := flaggy.NewSubcommand("lab")
	c.Description = "plays one load against policies, on a clock of its own, and prints what callers got"
	l := &lab{seed: 1, minutes: 6, out: os.Stdout}
	c.UInt64(&l.seed, "s", "seed", "of the load")
	c.Int(&l.minutes, "m", "minutes", "of the load, the first half to warm up")
	return command{c, l.run}
}

// run prints a row for each policy.
func (l *lab) run() error {
	w := tabwriter.NewWriter(l.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "policy\tin time\treuse\tfetched\tlargest/mean\tin 99 of 100 s\twait 95%\tcrashes")
	for _, row := range trial.DirectRows(l.seed) {
		cfg := row.Config
		cfg.For = time.Duration(l.minutes) * time.Minute
		cfg.Warm = cfg.For / 2
		r := trial.Run(cfg)
		fmt.Fprintf(w, "%s\t%.2f%%\t%.1f%%\t%.1f%%\t%.2f\t%.2f\t%s\t%d\n", row.Name,
			100*r.All.InTime, 100*r.All.Reuse, 100*r.All.Imported, r.Largest, r.Largest99, r.All.Wait95.Round(time.Millisecond), r.Crashes)
	}
	return w.Flush()
}
