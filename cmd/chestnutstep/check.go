package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
)

// checkOptions are the arguments of the check subcommand.
type checkOptions struct {
	file    string
	against string
	loads   []string
}

// checkCommand returns the subcommand and what runs when it is used.
func checkCommand() (*flaggy.Subcommand, func() error) {
	o := &checkOptions{}
	c := flaggy.NewSubcommand("check")
	c.Description = "check a publication: all mistakes at once, or what a change would do"
	c.AddPositionalValue(&o.file, "FILE", 1, true, "the publication, JSON with comments")
	c.String(&o.against, "a", "against", "the publication in force: says what the change would do")
	c.StringSlice(&o.loads, "l", "load", "with --against: a target's load now, TARGET=NUMBER in requests for one unit of weight; may be repeated")
	return c, func() error { return o.run(os.Stdout) }
}

func (o *checkOptions) run(w io.Writer) error {
	p, err := readPublication(o.file)
	if err != nil {
		return err
	}
	if o.against == "" {
		fmt.Fprintf(w, "%s: version %d is fine: %d targets, %d hosts, %d workspaces\n",
			o.file, p.Version, len(p.Targets), len(p.Hosts), len(p.Workspaces))
		return nil
	}
	old, err := readPublication(o.against)
	if err != nil {
		return err
	}
	loads, err := parseLoads(o.loads)
	if err != nil {
		return err
	}
	for _, line := range config.Diff(old, p, loads) {
		fmt.Fprintln(w, line)
	}
	return nil
}

func readPublication(path string) (*chestnutstep.Publication, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read publication")
	}
	return config.Parse(path, raw)
}

// parseLoads reads TARGET=NUMBER.
func parseLoads(list []string) ([]chestnutstep.Sample, error) {
	var loads []chestnutstep.Sample
	for _, s := range list {
		target, number, ok := strings.Cut(s, "=")
		load, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil {
			return nil, errors.Newf("--load wants TARGET=NUMBER, got %q", s)
		}
		loads = append(loads, chestnutstep.Sample{Target: target, Load: load})
	}
	return loads, nil
}
