package main

import (
	"time"

	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/stand"
)

// serviceCommand returns the service subcommand, an emulated plain service.
func serviceCommand() command {
	c := flaggy.NewSubcommand("service")
	c.Description = "a plain service: POST /bookings, POST /edits, GET /slots"
	s := &fake.Service{Delay: 5 * time.Millisecond, RestartTime: 300 * time.Millisecond}
	address := "127.0.0.1:0"
	c.String(&address, "l", "listen", "address to listen on; port 0 picks one and prints it")
	c.Duration(&s.Delay, "d", "delay", "time between an action's arrival and its effect")
	c.Duration(&s.RestartTime, "", "restart", "how long it drops connections after a crash")
	framing := ""
	c.String(&framing, "", "framing", "end of answers to actions: length, chunks or close")
	c.Bool(&s.Anonymous, "", "anonymous", "send no boot id")
	c.Duration(&s.BodyInterval, "", "halves", "time between the two halves of an answer to an action")
	inherit := false
	c.Bool(&inherit, "", "inherit", "take over the listening socket with descriptor 3")
	return command{c, func() error {
		s.Framing = stand.Framing(framing)
		l, err := listen(address, inherit)
		if err != nil {
			return err
		}
		return serveListener(l, s)
	}}
}
