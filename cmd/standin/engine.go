package main

import (
	"time"

	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/stand"
)

// engineCommand returns the engine subcommand, an emulated model engine.
func engineCommand() command {
	c := flaggy.NewSubcommand("engine")
	c.Description = "a model engine that batches, caches prefixes and starts cold"
	e := &fake.Engine{
		BaseStep:        2 * time.Millisecond,
		StepPerRequest:  100 * time.Microsecond,
		PrefillPerToken: 20 * time.Microsecond,
		Slots:           32,
		CacheTokens:     200_000,
		RestartTime:     300 * time.Millisecond,
		ReportLag:       200 * time.Millisecond,
		KVBytesPerToken: 64,
	}
	address := "127.0.0.1:0"
	c.String(&address, "l", "listen", "address to listen on; port 0 picks one and prints it")
	c.Duration(&e.BaseStep, "b", "base", "time of one token of a lone request")
	c.Duration(&e.StepPerRequest, "s", "slope", "added for each running request")
	c.Duration(&e.PrefillPerToken, "p", "prefill", "time for one prompt token that is not cached")
	c.Int(&e.Slots, "n", "slots", "requests that run at once; the rest wait")
	c.Int(&e.CacheTokens, "c", "cache", "prefix cache in tokens")
	c.Int(&e.ColdCapacity, "", "cold", "requests that it can carry while cold; 0 switches cold starts off")
	c.Int(&e.WarmupRequests, "", "warm", "requests served until it is warm")
	c.Int(&e.CrashLoad, "", "hard", "requests above which it falls over even when warm; 0 is never")
	c.Duration(&e.RestartTime, "", "restart", "how long it drops connections after it fell over")
	c.Duration(&e.ReportLag, "", "lag", "lag of load reports and cache events")
	c.Int(&e.EventGap, "", "gap", "leave out each n-th cache event")
	c.Bool(&e.Fenced, "", "fenced", "refuse orders with an older fencing number")
	c.Int(&e.KVBytesPerToken, "", "kv", "bytes of KV cache for one token")
	framing := ""
	c.String(&framing, "", "framing", "end of answers: chunks or close")
	inherit := false
	c.Bool(&inherit, "", "inherit", "take over the listening socket with descriptor 3")
	return command{c, func() error {
		e.Framing = stand.Framing(framing)
		l, err := listen(address, inherit)
		if err != nil {
			return err
		}
		return serveListener(l, e)
	}}
}
