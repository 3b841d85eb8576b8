// Package lint checks a routing configuration before it is sent: it finds what contradicts itself
// or can have no effect, and what differs from the configuration in force.
package lint

import (
	"fmt"
	"regexp"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
)

// Environment is what is known of the platform that a configuration is for. Checks that need
// unknown parts are left out.
type Environment struct {
	// Version is that of the configuration in force; 0 if unknown.
	Version uint64
	// Targets are the targets of all services; HasTargets reports whether they are known.
	Targets    []*chestnutstep.Instance
	HasTargets bool
	// Regions holds the region of each failure domain; empty if unknown.
	Regions map[string]string
	// RetryRatio is the part of a service's requests that may be retries, and HedgeRatio the part that
	// may be hedged; 0 if unknown.
	RetryRatio, HedgeRatio float64
}

// CheckHedge returns the problems of the hedge ratio, as problems of the argument that sets it.
func (e *Environment) CheckHedge(path string) []config.Problem {
	var text string
	switch {
	case e.HedgeRatio < 0 || e.HedgeRatio > 1:
		text = "must be from 0 to 100"
	case e.HedgeRatio > e.RetryRatio:
		text = fmt.Sprintf("%g%% is above the retry budget of %g%%, which hedges count towards", 100*e.HedgeRatio, 100*e.RetryRatio)
	default:
		return nil
	}
	return []config.Problem{{Severity: config.SeverityError, Path: path, Text: text}}
}

// Checker checks one configuration.
type Checker struct {
	Environment
	Routing *chestnutstep.Routing
	// Outline has the lines of the file.
	Outline *config.Outline
	// Fields holds the file's names of the fields in paths such as "routes[0].timeout", if they
	// differ.
	Fields map[string]string
	// Services lists the names of services in the order of the file.
	Services []string

	problems []config.Problem
	// targets counts the targets of each service.
	targets map[string]int
	// regions are the existing regions.
	regions map[string]bool
}

// Check returns the problems of the configuration, without lines.
func (c *Checker) Check() []config.Problem {
	c.targets = make(map[string]int)
	for _, t := range c.Targets {
		c.targets[t.Service]++
	}
	c.regions = make(map[string]bool)
	for _, region := range c.Regions {
		c.regions[region] = true
	}
	c.checkVersion()
	c.checkRoutes()
	c.checkServices()
	c.checkWorkspaces()
	if c.Routing.Limits.HeaderTimeout <= 0 {
		c.warn("limits.header", "not above 0: entries use their own timeout")
	}
	return c.problems
}

func (c *Checker) checkVersion() {
	switch v := c.Routing.Version; {
	case v == 0:
		c.fail("version", "must be above 0")
	case v <= c.Version:
		c.fail("version", "must be above %d, the version in force", c.Version)
	}
}

func (c *Checker) checkServices() {
	used := make(map[string]bool)
	for i := range c.Routing.Routes {
		for _, s := range c.Routing.Routes[i].Splits {
			used[s.Service] = true
		}
	}
	first := make(map[string]int)
	for i, name := range c.Services {
		path := fmt.Sprintf("services[%d].name", i)
		if !c.checkName(path, name, "services", first, i) {
			continue
		}
		if !used[name] && !c.Outline.IsBroken(c.field("routes")) {
			c.warn(path, "no route leads to service %q", name)
		}
		if c.HasTargets && c.targets[name] == 0 {
			c.warn(path, "service %q has no target", name)
		}
	}
}

// checkName reports names that are missing or used before. It reports whether the name is the
// first of its kind.
func (c *Checker) checkName(path, name, list string, first map[string]int, i int) bool {
	if name == "" {
		c.fail(path, "must be set")
		return false
	}
	if j, ok := first[name]; ok {
		c.fail(path, "%q is the name of %s already", name, c.field(fmt.Sprintf("%s[%d]", list, j)))
		return false
	}
	first[name] = i
	return true
}

func (c *Checker) checkWorkspaces() {
	if len(c.Routing.Workspaces) == 0 {
		c.checkOpenRoutes()
	}
	first, owners := make(map[string]int), make(map[string]string)
	for i, ws := range c.Routing.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.checkName(path+".name", ws.Name, "workspaces", first, i)
		if len(ws.Keys) == 0 {
			c.warn(path+".keys", "no keys: all requests of %q are refused", ws.Name)
		}
		for k, key := range ws.Keys {
			c.checkKey(fmt.Sprintf("%s.keys[%d]", path, k), key, ws.Name, owners)
		}
		c.checkRegions(path+".regions", ws.AllowedRegions)
	}
}

// checkOpenRoutes reports that routes need no key although they are not public, as there is no
// workspace.
func (c *Checker) checkOpenRoutes() {
	for i := range c.Routing.Routes {
		if !c.Routing.Routes[i].Public {
			c.warn("workspaces", "none: requests need no key, also on routes that are not public")
			return
		}
	}
}

// checkKey checks one key. The problems never contain it.
func (c *Checker) checkKey(path, key, workspace string, owners map[string]string) {
	owner, held := owners[key]
	switch {
	case key == "":
		c.fail(path, "must not be empty")
	case held && owner != workspace:
		c.fail(path, "belongs to %q already", owner)
	case held:
		c.warn(path, "given twice")
	default:
		owners[key] = workspace
	}
}

// checkRegions reports regions that don't exist, and restrictions that exclude all that do.
func (c *Checker) checkRegions(path string, allowed []string) {
	if len(c.regions) == 0 || len(allowed) == 0 {
		return
	}
	known := 0
	for i, region := range allowed {
		if c.regions[region] {
			known++
			continue
		}
		c.warn(fmt.Sprintf("%s[%d]", path, i), "unknown region %q", region)
	}
	if known == 0 {
		c.fail(path, "excludes all regions: all requests are refused")
	}
}

func (c *Checker) fail(path, format string, args ...any) {
	c.add(config.SeverityError, path, format, args...)
}

func (c *Checker) warn(path, format string, args ...any) {
	c.add(config.SeverityWarning, path, format, args...)
}

func (c *Checker) add(severity config.Severity, path, format string, args ...any) {
	c.problems = append(c.problems, config.Problem{Severity: severity, Path: c.field(path), Text: fmt.Sprintf(format, args...)})
}

var wordPattern = regexp.MustCompile(`[a-z]+`)

// field returns the path with the names of the file.
func (c *Checker) field(path string) string {
	return wordPattern.ReplaceAllStringFunc(path, func(word string) string {
		if name, ok := c.Fields[word]; ok {
			return name
		}
		return word
	})
}
