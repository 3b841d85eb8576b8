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
	"chestnutstep.example/chestnutstep/platform"
)

// checkOptions are the arguments of the check subcommand.
type checkOptions struct {
	file    string
	against string
	loads   []string
	// settings, routing and deploy are paths of files of the platform.
	settings string
	routing  string
	deploy   string
	routingOptions
}

// checkCommand returns the check subcommand and the function that runs it.
func checkCommand() (*flaggy.Subcommand, func() error) {
	o := &checkOptions{}
	c := flaggy.NewSubcommand("check")
	c.Description = "check a publication, or files of the platform: all mistakes at once, or what a change would do"
	c.AddPositionalValue(&o.file, "FILE", 1, false, "the publication, JSON with comments")
	c.String(&o.settings, "s", "settings", "a settings file of the platform")
	c.String(&o.routing, "r", "routing", "a configuration of the platform's operator")
	c.String(&o.deploy, "d", "deploy", "a deploy file of the platform")
	c.String(&o.against, "a", "against", "the publication, or with --routing the configuration, in force: says what the change would do")
	c.StringSlice(&o.loads, "l", "load", "with --against: a target's load now, TARGET=NUMBER in requests for one unit of weight; may be repeated")
	c.String(&o.targets, "t", "targets", "with --routing: a JSON list of targets as the platform lists them")
	c.Float64(&o.hedgePercent, "g", "hedge", "with --routing and --settings: the percentage that entries are started with")
	c.Bool(&o.json, "j", "json", "with --routing: print one JSON object")
	c.Bool(&o.strict, "x", "strict", "with --routing: exit with status 1 on warnings, too")
	return c, func() error { return o.run(os.Stdout) }
}

func (o *checkOptions) run(w io.Writer) error {
	if o.routing != "" {
		return o.runRouting(w)
	}
	if o.routingOptions != (routingOptions{}) {
		return ErrUsage{errors.New("--targets, --hedge, --json and --strict need --routing")}
	}
	checked, err := o.runPlatform(w)
	if err != nil || o.file == "" && checked {
		return err
	}
	if o.file == "" {
		return errors.New("name a publication, or --settings, --routing or --deploy with a file")
	}
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

// runPlatform checks the platform's files. It reports whether any were given
// and returns the first error.
func (o *checkOptions) runPlatform(w io.Writer) (bool, error) {
	settings := func(file string, raw []byte) error {
		_, err := platform.ParseSettings(file, raw)
		return err
	}
	checked := false
	for _, input := range []struct {
		file  string
		check func(file string, raw []byte) error
	}{{o.settings, settings}, {o.deploy, platform.CheckDeploy}} {
		if input.file == "" {
			continue
		}
		raw, err := os.ReadFile(input.file)
		if err != nil {
			return true, errors.Wrap(err, "check")
		}
		if err := input.check(input.file, raw); err != nil {
			return true, err
		}
		fmt.Fprintf(w, "%s is fine\n", input.file)
		checked = true
	}
	return checked, nil
}

func readPublication(path string) (*chestnutstep.Publication, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read publication")
	}
	return config.Parse(path, raw)
}

// parseLoads parses loads of the form TARGET=NUMBER.
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
