package main

import (
	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/fake"
)

// platformCommand returns the platform subcommand, an emulated configuration
// service with a host list.
func platformCommand() command {
	c := flaggy.NewSubcommand("platform")
	c.Description = "the configuration service and the host list; POST /control/v/NAME sets a value"
	address := "127.0.0.1:0"
	c.String(&address, "l", "listen", "address to listen on; port 0 picks one and prints it")
	return command{c, func() error { return serve(address, &fake.Platform{}) }}
}
