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

// scaleCommand returns the scale subcommand, a benchmark of the control traffic
// of a large fleet.
func scaleCommand() command {
	c := flaggy.NewSubcommand("scale")
	c.Description = "measures a fleet of many processes at rest and under changes"
	s := &bench.Scale{Agents: 60, Entries: 6, Changes: 5, Rest: 20 * time.Second, Pad: bench.PadAll, Out: os.Stdout}
	c.Int(&s.Agents, "a", "agents", "with an engine each")
	c.Int(&s.Entries, "e", "entries", "beside them")
	c.Int(&s.Changes, "c", "changes", "published one after the other")
	c.Duration(&s.Rest, "d", "rest", "how long the fleet is watched at rest")
	c.String(&s.Pad, "p", "pad", "what fills the publication up to the planned size: none, workspaces, all")
	return command{c, func() error { return scale(s) }}
}

// scaleTimeout bounds a whole run.
const scaleTimeout = 2 * time.Minute

func scale(s *bench.Scale) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, scaleTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "standin-")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer os.RemoveAll(dir)
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find executable")
	}
	s.Bin, s.Dir = filepath.Dir(self), dir
	return s.Run(ctx)
}
