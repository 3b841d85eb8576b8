package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep/admin"
	"chestnutstep.example/chestnutstep/audit"
)

// statusOptions are the flags of the status subcommand.
type statusOptions struct {
	addrs []string
	json  bool
	audit bool
	log   string
	name  string
}

// statusCommand returns the status subcommand and the function that runs it.
func statusCommand() (*flaggy.Subcommand, func() error) {
	o := &statusOptions{}
	c := flaggy.NewSubcommand("status")
	c.Description = "show what processes do, or check an audit trail"
	c.StringSlice(&o.addrs, "a", "admin", "admin address of a process, IP:port; may be repeated")
	c.Bool(&o.json, "j", "json", "print JSON instead of a page")
	c.Bool(&o.audit, "t", "audit", "print the audit trail that each process keeps, and check its chain")
	c.String(&o.log, "l", "log", "check the audit trail in this log file instead of asking a process")
	c.String(&o.name, "p", "process", "with --log: the process whose records to take")
	return c, o.run
}

func (o *statusOptions) run() error {
	if o.log != "" {
		return o.checkLog()
	}
	if len(o.addrs) == 0 {
		return errors.New("name at least one process: --admin IP:port")
	}
	var failed error
	for i, addr := range o.addrs {
		if i > 0 && !o.json {
			fmt.Println()
		}
		if err := o.show(addr); err != nil {
			fmt.Fprintln(os.Stderr, "chestnutstep:", err)
			failed = errors.Newf("not all of the %d processes could be shown", len(o.addrs))
		}
	}
	return failed
}

func (o *statusOptions) show(addr string) error {
	if o.audit {
		records, err := admin.FetchAudit(context.Background(), addr)
		if err != nil {
			return err
		}
		return o.printVerified(records)
	}
	s, err := admin.FetchStatus(context.Background(), addr)
	if err != nil {
		return err
	}
	if o.json {
		return printJSON(s)
	}
	return s.WriteText(os.Stdout, time.Now())
}

func (o *statusOptions) checkLog() error {
	f, err := os.Open(o.log)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer f.Close()
	records, err := audit.Read(f, o.name)
	if err != nil {
		return err
	}
	return o.printVerified(records)
}

func (o *statusOptions) printVerified(records []audit.Record) error {
	if err := o.print(records); err != nil {
		return err
	}
	if err := audit.Verify(records); err != nil {
		return err
	}
	if !o.json {
		fmt.Printf("%d records, the chain is whole\n", len(records))
	}
	return nil
}

func (o *statusOptions) print(records []audit.Record) error {
	if o.json {
		return printJSON(records)
	}
	return admin.WriteTrail(os.Stdout, records)
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "print")
}
