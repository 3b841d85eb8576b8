package main

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/stand"
)

// targetCommand returns the target subcommand, an emulated server of the platform.
func targetCommand() command {
	c := flaggy.NewSubcommand("target")
	c.Description = "a server of the platform; prints a line of JSON for each run"
	x := &targetProcess{address: "127.0.0.1:0", name: "i-0", build: "1", events: 4}
	c.String(&x.address, "l", "listen", "address to listen on")
	c.String(&x.name, "", "name", "instance name")
	c.String(&x.build, "", "build", "version of its software, named in each event")
	c.String(&x.framing, "", "framing", "end of answers: length, chunks or close")
	c.Int(&x.events, "", "events", "events of a stream")
	c.Int(&x.astray, "", "astray", "begin each n-th stream that goes on behind an event at another one")
	c.Duration(&x.interval, "", "interval", "time between two events, and between the halves of a body")
	c.Bool(&x.inherit, "", "inherit", "take over the listening socket with descriptor 3")
	return command{c, x.run}
}

type targetProcess struct {
	address, name, build, framing string
	events, astray                int
	interval                      time.Duration
	inherit                       bool
}

func (x *targetProcess) run() error {
	l, err := listen(x.address, x.inherit)
	if err != nil {
		return err
	}
	t := stand.NewHandler(x.name)
	t.Build, t.Framing, t.RunLog = x.build, stand.Framing(x.framing), os.Stdout
	t.AstrayEvery = x.astray
	t.EventCount, t.EventInterval, t.BodyInterval = x.events, x.interval, x.interval
	s := &http.Server{Handler: t, ConnState: t.Track}
	return errors.Wrap(s.Serve(l), "serve")
}
