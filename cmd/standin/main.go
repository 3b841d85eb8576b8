// Command standin emulates the systems outside the fleet: the platform, model
// engines, plain services and callers. It also runs the demo, the benchmarks
// and the simulations of policies. The servers print the address on which they
// listen.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// command is a subcommand and the function that runs it.
type command struct {
	flags *flaggy.Subcommand
	run   func() error
}

func main() {
	flaggy.SetName("standin")
	flaggy.SetDescription("Stand-ins for the systems outside the fleet")
	commands := []command{
		platformCommand(),
		engineCommand(),
		serviceCommand(),
		targetCommand(),
		callCommand(),
		proxyCommand(),
		loadCommand(),
		scaleCommand(), labCommand(),
		demoCommand(),
	}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.flags, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.flags.Used {
			exit(c.run())
		}
	}
	flaggy.ShowHelpAndExit("choose a subcommand")
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	os.Exit(0)
}
