package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/demo"
	"chestnutstep.example/chestnutstep/fleet"
)

// demoOptions are the arguments of the demo subcommand.
type demoOptions struct {
	seed int
	hold bool
	keep bool
}

// demoCommand returns the demo subcommand, which runs a fleet on loopback and
// checks its guarantees.
func demoCommand() command {
	c := flaggy.NewSubcommand("demo")
	c.Description = "starts a fleet of separate processes on loopback, plays the main job, checks the promises"
	p := &demoOptions{seed: 1}
	c.Int(&p.seed, "s", "seed", "of the load")
	c.Bool(&p.hold, "", "hold", "leave the fleet running until interrupted")
	c.Bool(&p.keep, "", "keep", "keep the directory with settings and logs")
	return command{c, p.run}
}

func (p *demoOptions) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	dir, err := os.MkdirTemp("", "standin-")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	if !p.keep {
		defer os.RemoveAll(dir)
	}
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find executable")
	}
	f := demo.Fleet(filepath.Dir(self), dir)
	defer f.Close()
	fmt.Println("settings and logs in", dir)
	if err := f.Start(ctx); err != nil {
		return err
	}
	printFleet(f)
	d := demo.Demo{Fleet: f, Out: os.Stdout, Seed: uint64(p.seed)}
	err = d.Run(ctx)
	if p.hold {
		fmt.Println("holding; interrupt to end")
		<-ctx.Done()
	}
	return err
}

// printFleet prints the addresses of the processes, so that operators' commands
// can be tried on them.
func printFleet(f *fleet.Fleet) {
	for _, t := range f.Targets {
		fmt.Printf("%-10s %-10s target %s agent %s admin %s\n", t.Name, t.Domain, t.Backend.Address, t.Agent.Address, t.Agent.Admin)
	}
	for _, e := range f.Entries {
		fmt.Printf("%-10s %-10s callers %s admin %s\n", e.Name, e.Domain, e.Address, e.Admin)
	}
	fmt.Printf("%-10s %-10s %s\n\n", "platform", "", f.Platform.Address)
}
