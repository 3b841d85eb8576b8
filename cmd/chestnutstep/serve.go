package main

import (
	"context"
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

// entryCommand returns the subcommand that runs an entry.
func entryCommand() (*flaggy.Subcommand, func() error) {
	c, path := serveFlags("entry", "take callers' requests and bring them to targets")
	return c, func() error {
		if file := os.Getenv(platform.SettingsVariable); *path == "" && file != "" {
			return direct(file)
		}
		s, err := settings(*path, config.RoleEntry)
		if err != nil {
			return err
		}
		return serve((&node.Entry{Settings: s}).Run)
	}
}

// direct runs an entry on the platform whose settings file is named.
func direct(file string) error {
	s, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	return serve((&node.Direct{Settings: s, Source: platform.NewStore(s.Store, link.Dial), Wire: platform.Wire{}}).Run)
}

// agentCommand returns the subcommand that runs an agent.
func agentCommand() (*flaggy.Subcommand, func() error) {
	c, path := serveFlags("agent", "stand beside one target and decide what it takes")
	return c, func() error {
		s, err := settings(*path, config.RoleAgent)
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

func settings(path string, role config.Role) (*config.Settings, error) {
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
