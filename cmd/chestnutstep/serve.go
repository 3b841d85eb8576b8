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
	metrics := ""
	c.String(&metrics, "m", "metrics", "port for metrics, where the settings are the platform's")
	return c, func() error {
		if file := os.Getenv(platform.SettingsEnv); *path == "" && file != "" {
			return runDirect(file, metrics)
		}
		s, err := loadSettings(*path, config.RoleEntry)
		if err != nil {
			return err
		}
		return serve((&node.Entry{Settings: s}).Run)
	}
}

// runDirect runs an entry without agents, with the platform's settings file.
func runDirect(file, metrics string) error {
	parse := func(path string) (*config.DirectSettings, error) { return directSettings(path, metrics) }
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

// directSettings loads the platform's settings and sets the metrics port from
// the command line.
func directSettings(path, metrics string) (*config.DirectSettings, error) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	if metrics != "" {
		s.MetricsAddr = net.JoinHostPort(s.IP, metrics)
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
