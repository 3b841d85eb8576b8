package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/bench"
)

// loadCommand returns the load subcommand, a benchmark of the fleet against a
// plain proxy.
func loadCommand() command {
	c := flaggy.NewSubcommand("load")
	c.Description = "measures the fleet against a naive pass-through in the same run"
	b := &bench.Bench{Streams: 500, Probes: 1000, Rate: 700, Tokens: 214, Time: 10 * time.Second, Out: os.Stdout}
	c.Int(&b.Streams, "n", "streams", "held open while the first byte is timed")
	c.Int(&b.Probes, "p", "probes", "requests timed on each path")
	c.Int(&b.Rate, "r", "rate", "requests a second of the CPU measurement; 0 leaves it out")
	c.Int(&b.Tokens, "t", "tokens", "of each of its answers")
	c.Duration(&b.Time, "d", "time", "how long it lasts")
	return command{c, func() error { return measure(b) }}
}

func measure(b *bench.Bench) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	dir, err := os.MkdirTemp("", "standin-")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer os.RemoveAll(dir)
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find executable")
	}
	b.Bin, b.Dir = filepath.Dir(self), dir
	if b.Streams > 0 {
		if err := b.FirstByte(ctx); err != nil {
			return err
		}
	}
	if b.Rate == 0 {
		return nil
	}
	return b.Throughput(ctx)
}
