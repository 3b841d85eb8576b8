package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/node"
	"chestnutstep.example/chestnutstep/platform"
)

// entryCommand returns the entry subcommand and the function that runs it.
func entryCommand() (*flaggy.Subcommand, func() error) {
	c, path := serveFlags("entry", "take callers' requests and bring them to targets")
	o := &directOptions{}
	c.String(&o.metrics, "m", "metrics", "port for metrics, where the settings are the platform's")
	c.Bool(&o.keepReturns, "r", "returns", "tell refused callers when a place is likely, and serve them first when they return then")
	c.Float64(&o.hedgePercent, "g", "hedge", "part of a service's repeatable requests, in percent, that may be sent to a second target to cut slow answers")
	return c, func() error {
		if file := os.Getenv(platform.SettingsEnv); *path == "" && file != "" {
			return runDirect(file, o)
		}
		s, err := loadSettings(*path, config.RoleEntry)
		if err != nil {
			return err
		}
		return serve((&node.Entry{Settings: s}).Run)
	}
}

// runDirect runs an entry without agents, with the platform's settings file.
func runDirect(file string, o *directOptions) error {
	parse := func(path string) (*config.DirectSettings, error) { return directSettings(path, o) }
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	s, err := parse(file)
	if err != nil {
		return err
	}
	store := platform.NewStore(s.StoreAddr, link.Dial)
	n := &node.Direct{
		Settings: s,
		Source:   store.TopicSource,
		Decoder:  store,
		Codec:    platform.HeaderCodec{},
		Caches:   platform.NewTargetClient(),
		Reloader: &config.Reloader{Path: file, Parse: parse, Read: raw},
	}
	return serve(n.Run)
}

// directOptions are the settings of an entry without agents that come from the command line.
type directOptions struct {
	metrics      string
	keepReturns  bool
	hedgePercent float64
}

// directSettings loads the platform's settings and adds those from the command line.
func directSettings(path string, o *directOptions) (*config.DirectSettings, error) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	if o.metrics != "" {
		s.MetricsAddr = net.JoinHostPort(s.IP, o.metrics)
	}
	s.KeepReturns, s.HedgeRatio = o.keepReturns, o.hedgePercent/100
	if s.HedgeRatio < 0 || s.HedgeRatio > s.Bounds.RetryRatio {
		return nil, errors.Newf("--hedge: %g percent must be from 0 to %g, the retry budget", o.hedgePercent, 100*s.Bounds.RetryRatio)
	}
	return s, nil
}

// agentCommand returns the agent subcommand and the function that runs it.
func agentCommand() (*flaggy.Subcommand, func() error) {
	c, path := serveFlags("agent", "stand beside one target and decide what it takes")
	return c, func() error {
		s, err := loadSettings(*path, config.RoleAgent)
		if err != nil {
			return err
		}
		return serve((&node.Agent{Settings: s}).Run)
	}
}

func serveFlags(name, description string) (*flaggy.Subcommand, *string) {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	path := new(string)
	c.String(path, "s", "settings", "settings file, JSON with comments")
	return c, path
}

func loadSettings(path string, role config.Role) (*config.Settings, error) {
	if path == "" {
		return nil, errors.Newf("name the settings file: chestnutstep %s --settings FILE", role)
	}
	return config.Load(path, role)
}

// serve runs a process until SIGTERM or SIGINT, then lets it drain.
func serve(run func(context.Context) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx)
}
