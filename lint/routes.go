package lint

import (
	"fmt"
	"slices"
	"strings"

	"chestnutstep.example/chestnutstep"
)

func (c *Checker) checkRoutes() {
	if len(c.Routing.Routes) == 0 {
		c.warn("routes", "none: all requests are refused")
	}
	first := make(map[string]int)
	owners := make(map[string]int)
	for i := range c.Routing.Routes {
		r, path := &c.Routing.Routes[i], fmt.Sprintf("routes[%d]", i)
		if r.Name == "" {
			c.warn(path+".name", "missing: differences and logs name routes by it")
		} else {
			c.checkName(path+".name", r.Name, "routes", first, i)
		}
		c.checkMatch(path, r, owners, i)
		c.checkTimes(path, r)
		c.checkSplits(path, r)
		c.checkRegions(path+".regions", r.AllowedRegions)
		c.checkReach(path, r)
	}
}

// checkMatch reports routes that no request reaches. As the longest prefix of a host wins, a route
// is hidden only by an earlier one with the same host and prefix.
func (c *Checker) checkMatch(path string, r *chestnutstep.Route, owners map[string]int, i int) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.fail(path+".prefix", "must begin and end with a slash")
	}
	name, port, hasPort := strings.Cut(r.Host, ":")
	switch {
	case r.Host == "":
		c.warn(path+".host", "missing: only requests without a host match")
	case hasPort:
		c.warn(path+".host", "only requests that name port %s match", port)
	case name != strings.ToLower(name):
		c.warn(path+".host", "has upper case: only requests that spell it so match")
	}
	id := r.Host + " " + r.Prefix
	if j, ok := owners[id]; ok {
		c.fail(path, "never matches: routes[%d]%s has the same host and prefix", j, quoteName(c.Routing.Routes[j].Name))
		return
	}
	owners[id] = i
}

func quoteName(name string) string {
	if name == "" {
		return ""
	}
	return fmt.Sprintf(" (%s)", name)
}

func (c *Checker) checkTimes(path string, r *chestnutstep.Route) {
	switch {
	case r.Timeout <= 0:
		c.fail(path+".timeout", "must be above 0")
	case r.LatencyObjective < 0:
		c.fail(path+".objective", "must not be below 0")
	case r.Timeout < r.LatencyObjective:
		c.fail(path+".timeout", "%s is below the latency objective of %s", r.Timeout, r.LatencyObjective)
	}
}

// checkSplits checks the services of a route, their weights, and whether they have as many targets as
// a request may try.
func (c *Checker) checkSplits(path string, r *chestnutstep.Route) {
	list := path + ".splits"
	isList := c.Outline.Has(c.field(list))
	if isList && c.Outline.Has(c.field(path+".service")) {
		c.warn(path+".service", "ignored, as %s is set", c.field("splits"))
	}
	sum := 0.0
	for i, s := range r.Splits {
		item := fmt.Sprintf("%s[%d]", list, i)
		service := item + ".service"
		if !isList {
			service = path + ".service"
		}
		sum += s.Weight
		if s.Weight < 0 {
			c.fail(item+".weight", "must not be below 0")
		}
		if c.Routing.Services[s.Service] == nil && !c.Outline.IsBroken(c.field("services")) {
			c.fail(service, "unknown service %q", s.Service)
			continue
		}
		if n := c.targets[s.Service]; c.HasTargets && n > 0 && r.MaxAttempts > n {
			c.warn(path+".attempts", "%d is above the %d targets of service %q", r.MaxAttempts, n, s.Service)
		}
	}
	switch {
	case sum != 0:
	case len(r.Splits) > 1:
		c.fail(list, "weights sum to 0")
	default:
		c.warn(list+"[0].weight", "0 has no effect: the service is the only one")
	}
}

// checkReach reports services of which no target is in a region that the route allows.
func (c *Checker) checkReach(path string, r *chestnutstep.Route) {
	if !c.HasTargets || len(c.regions) == 0 || len(r.AllowedRegions) == 0 {
		return
	}
	for _, s := range r.Splits {
		inReach := func(t *chestnutstep.Instance) bool {
			return t.Service == s.Service && slices.Contains(r.AllowedRegions, c.Regions[t.Domain])
		}
		if c.targets[s.Service] > 0 && !slices.ContainsFunc(c.Targets, inReach) {
			c.warn(path+".regions", "service %q has no target in these regions", s.Service)
		}
	}
}
