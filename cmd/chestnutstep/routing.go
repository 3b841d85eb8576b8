package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/lint"
	"chestnutstep.example/chestnutstep/platform"
)

// routingOptions are the arguments of the check subcommand that only apply to --routing.
type routingOptions struct {
	targets      string
	hedgePercent float64
	json         bool
	strict       bool
}

// Exit statuses for scripts.
const (
	statusFindings = 1
	statusUsage    = 2
)

// ErrFindings reports that a check found mistakes, which it has printed.
type ErrFindings struct {
	Errors, Warnings int
}

func (err ErrFindings) Error() string {
	return fmt.Sprintf("%d errors, %d warnings", err.Errors, err.Warnings)
}

// IsErrFindings reports whether an error is an ErrFindings.
func IsErrFindings(err error) bool { return errors.As(err, new(ErrFindings)) }

// ErrUsage reports that nothing was checked: arguments are wrong, or a file can't be read.
type ErrUsage struct {
	Err error
}

func (err ErrUsage) Error() string { return err.Err.Error() }

// Unwrap returns the cause.
func (err ErrUsage) Unwrap() error { return err.Err }

// IsErrUsage reports whether an error is an ErrUsage.
func IsErrUsage(err error) bool { return errors.As(err, new(ErrUsage)) }

func exitStatus(err error) int {
	switch {
	case err == nil:
		return 0
	case IsErrUsage(err):
		return statusUsage
	default:
		return statusFindings
	}
}

// runRouting checks an operator's configuration.
func (o *checkOptions) runRouting(w io.Writer) error {
	if o.file != "" || len(o.loads) > 0 {
		return ErrUsage{errors.New("--routing excludes a publication and --load")}
	}
	if o.hedgePercent != 0 && o.settings == "" {
		return ErrUsage{errors.New("--hedge needs --settings, which has the retry budget")}
	}
	r, err := o.checkRouting()
	if err != nil {
		return ErrUsage{err}
	}
	if !o.json {
		r.WriteText(w)
	} else if err := r.WriteJSON(w); err != nil {
		return errors.Wrap(err, "print")
	}
	if r.Errors > 0 || o.strict && r.Warnings > 0 {
		return ErrFindings{r.Errors, r.Warnings}
	}
	return nil
}

func (o *checkOptions) checkRouting() (*lint.Report, error) {
	r := &lint.Report{File: o.routing, Against: o.against}
	env := lint.Environment{HedgeRatio: o.hedgePercent / 100}
	raw, err := os.ReadFile(o.routing)
	if err != nil {
		return nil, errors.Wrap(err, "check")
	}
	if err := o.readTargets(&env); err != nil {
		return nil, err
	}
	if err := o.readSettings(&env, r); err != nil {
		return nil, err
	}
	if err := addFile(r, o.deploy, platform.CheckDeploy); err != nil {
		return nil, err
	}
	if o.against != "" {
		if r.Differences, err = o.compare(raw, &env); err != nil {
			return nil, err
		}
	}
	r.Add(o.routing, platform.CheckConfig(o.routing, raw, env)...)
	return r, nil
}

func (o *checkOptions) readTargets(env *lint.Environment) error {
	if o.targets == "" {
		return nil
	}
	raw, err := os.ReadFile(o.targets)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	env.HasTargets = true
	env.Targets, err = platform.ParseTargets(raw)
	return errors.Wrap(err, o.targets)
}

// readSettings takes the regions and the retry budget from the settings file.
func (o *checkOptions) readSettings(env *lint.Environment, r *lint.Report) error {
	return addFile(r, o.settings, func(file string, raw []byte) error {
		s, err := platform.ParseSettings(file, raw)
		if err != nil {
			return err
		}
		env.Regions, env.RetryRatio = s.Regions, s.Bounds.RetryRatio
		r.Add("", env.CheckHedge("--hedge")...)
		return nil
	})
}

// addFile checks another file, if one is given. Mistakes in it are findings of the report.
func addFile(r *lint.Report, file string, check func(file string, raw []byte) error) error {
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	err = check(file, raw)
	var invalid config.ErrInvalid
	if err != nil && !errors.As(err, &invalid) {
		return err
	}
	// The settings are checked in random order.
	slices.SortStableFunc(invalid.Problems, func(a, b config.Problem) int { return strings.Compare(a.Path, b.Path) })
	r.Add(file, invalid.Problems...)
	return nil
}

// compare returns the differences from the configuration in force. There are none if the new one
// can't be read, which is a finding.
func (o *checkOptions) compare(raw []byte, env *lint.Environment) ([]lint.Difference, error) {
	inForce, err := os.ReadFile(o.against)
	if err != nil {
		return nil, errors.Wrap(err, "check")
	}
	version, old, err := platform.ConfigItems(inForce)
	if err != nil {
		return nil, errors.Wrap(err, o.against)
	}
	env.Version = version
	_, next, err := platform.ConfigItems(raw)
	if err != nil {
		return nil, nil
	}
	return lint.Diff(old, next), nil
}
