package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"

	"chestnutstep.example/chestnutstep"
)

const (
	// minMultiple is the smallest multiple of the mean load that can be enforced.
	// Closer to 1, the error of the estimated mean alone would refuse requests for which
	// every target has capacity.
	minMultiple = 1.05
	// maxReadRate is the number of calls per second that the configuration service can serve to
	// all readers together. A higher budget would overload the service.
	maxReadRate = 2000
	// maxKeys keeps a workspace, which can't be split over parts, far below the size
	// limit of a part.
	maxKeys = 1000
	// maxOffers is the maximum number of targets that one request can be offered to. With
	// the cap at 1.05, more than a few dozen full targets in a row mean saturation, which
	// more offers only make worse.
	maxOffers = 64
	// keyBytes is the length of the SHA-256 hash of a caller's key.
	keyBytes = 32
)

// checkPublication checks a publication in the order of its fields.
func checkPublication(ps *problems, p *chestnutstep.Publication) {
	if p.Version == 0 {
		ps.add("version", "want a version from 1 up")
	}
	c := checker{problems: ps}
	c.checkDomains(p.Domains)
	c.checkHosts(p.Hosts)
	c.checkModels(p.Models)
	c.checkTargets(p.Targets)
	c.checkProfiles(p.Profiles)
	c.checkWorkspaces(p.Workspaces)
	c.checkBudget(p.Budget)
}

// checker holds the names that later parts of a publication refer to.
type checker struct {
	*problems
	domains, hosts, models names
}

// names maps a name to the path at which it was first defined.
type names map[string]string

// add checks a name and reports it if another item of the list has it.
func (ns names) add(ps *problems, path, name string) {
	if !checkName(ps, path+".name", name) {
		return
	}
	if first, ok := ns[name]; ok {
		ps.add(path+".name", "%q is the name of %s too", name, first)
		return
	}
	ns[name] = path
}

// checkReference reports a reference that is missing or whose name is not defined.
func (ns names) checkReference(ps *problems, path, kind, name string) {
	if name == "" {
		ps.add(path, "missing")
		return
	}
	if _, ok := ns[name]; !ok {
		ps.add(path, "unknown %s %q", kind, name)
	}
}

func indexPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

func (c *checker) checkDomains(list []chestnutstep.Domain) {
	c.domains = make(names, len(list))
	for i, d := range list {
		path := indexPath("domains", i)
		c.domains.add(c.problems, path, d.Name)
		checkName(c.problems, path+".region", d.Region)
	}
}

func (c *checker) checkHosts(list []chestnutstep.Host) {
	c.hosts = make(names, len(list))
	for i, h := range list {
		path := indexPath("hosts", i)
		c.hosts.add(c.problems, path, h.Name)
		c.domains.checkReference(c.problems, path+".domain", "domain", h.Domain)
	}
}

func (c *checker) checkModels(list []chestnutstep.Model) {
	c.models = make(names, len(list))
	for i, m := range list {
		path := indexPath("models", i)
		c.models.add(c.problems, path, m.Name)
		if m.Kind != chestnutstep.KindEngine && m.Kind != chestnutstep.KindService {
			c.add(path+".kind", "want %q or %q, got %q", chestnutstep.KindEngine, chestnutstep.KindService, m.Kind)
		}
		c.checkLimits(path, m)
	}
}

func (c *checker) checkLimits(path string, m chestnutstep.Model) {
	if !isFinite(m.Multiple) || (m.Multiple != 0 && m.Multiple < minMultiple) {
		c.add(path+".multiple", "want %v or more, or 0 for no cap, got %v", minMultiple, m.Multiple)
	}
	if m.Slots < 1 {
		c.add(path+".slots", "want at least 1, got %d", m.Slots)
	}
	if m.Floor < 1 && m.Multiple != 0 {
		c.add(path+".floor", "want at least 1 with a multiple: a mean below 1 would forbid any work; got %d", m.Floor)
	}
	if m.Floor < 0 || m.Floor > max(m.Slots, 1) {
		c.add(path+".floor", "want 0 to slots (%d), got %d", m.Slots, m.Floor)
	}
	if m.QueueLimit < 0 {
		c.add(path+".queue", "want 0 or more, got %d", m.QueueLimit)
	}
	if m.ColdCap < 1 || m.ColdCap > max(m.Slots, 1) {
		c.add(path+".cold", "want 1 to slots (%d): a target that carries nothing never warms; got %d", m.Slots, m.ColdCap)
	}
	if m.WarmupAnswers < 0 {
		c.add(path+".warm", "want 0 or more, got %d", m.WarmupAnswers)
	}
	if !isFinite(m.PrefillRate) || m.PrefillRate < 0 {
		c.add(path+".prefill", "want 0 or more tokens a second, got %v", m.PrefillRate)
	}
	if m.CacheBytesPerToken < 0 {
		c.add(path+".cache", "want 0 or more bytes, got %d", m.CacheBytesPerToken)
	}
}

func (c *checker) checkTargets(list []chestnutstep.Target) {
	seen := make(names, len(list))
	agents := make(names, len(list))
	for i, t := range list {
		path := indexPath("targets", i)
		seen.add(c.problems, path, t.Name)
		c.hosts.checkReference(c.problems, path+".host", "host", t.Host)
		c.models.checkReference(c.problems, path+".model", "model", t.Model)
		c.checkWeight(path+".weight", t.Weight)
		checkAddress(c.problems, path+".agent", t.Agent)
		if first, ok := agents[t.Agent]; ok && t.Agent != "" {
			c.add(path+".agent", "%s is the agent of %s too; each target has its own", t.Agent, first)
		}
		agents[t.Agent] = path
		c.checkOrders(path+".orders", t.Orders)
	}
}

// orderKinds are the kinds of orders that engines support.
var orderKinds = []string{
	chestnutstep.OrderModel, chestnutstep.OrderAdapter, chestnutstep.OrderVersion, chestnutstep.OrderRole,
}

func (c *checker) checkOrders(path string, list []chestnutstep.Order) {
	for i, o := range list {
		if !slices.Contains(orderKinds, o.Kind) {
			c.add(indexPath(path, i)+".kind", "want one of %q, got %q", orderKinds, o.Kind)
		}
		if o.Name == "" {
			c.add(indexPath(path, i)+".name", "is missing")
		}
	}
}

func (c *checker) checkProfiles(list []chestnutstep.Profile) {
	seen := make(names, len(list))
	for i, p := range list {
		path := indexPath("profiles", i)
		seen.add(c.problems, path, p.Name)
		c.models.checkReference(c.problems, path+".model", "model", p.Model)
		switch p.Class {
		case "urgent", "normal", "batch":
		default:
			c.add(path+".class", "want \"urgent\", \"normal\" or \"batch\", got %q", p.Class)
		}
		if p.Timeout <= 0 {
			c.add(path+".timeout", "want a duration above 0, got %s", p.Timeout.Std())
		}
		if p.Patience < 0 || p.Patience > max(p.Timeout, 0) {
			c.add(path+".patience", "want 0s to timeout (%s), got %s", p.Timeout.Std(), p.Patience.Std())
		}
		if p.MaxAttempts < 1 || p.MaxAttempts > maxOffers {
			c.add(path+".tries", "want 1 to %d, got %d", maxOffers, p.MaxAttempts)
		}
		if p.ExpectedTokens < 0 {
			c.add(path+".tokens", "want 0 or more, got %d", p.ExpectedTokens)
		}
		if p.MaxBodyBytes < 0 {
			c.add(path+".body", "want 0 or more, got %d", p.MaxBodyBytes)
		}
	}
}

func (c *checker) checkWorkspaces(list []chestnutstep.Workspace) {
	seen := make(names, len(list))
	keys := make(names, len(list))
	for i, ws := range list {
		path := indexPath("workspaces", i)
		seen.add(c.problems, path, ws.Name)
		c.checkWeight(path+".weight", ws.Weight)
		c.checkKeys(path+".keys", ws.Keys, keys)
		if !isFinite(ws.Rate) || ws.Rate < 0 {
			c.add(path+".rate", "want 0 (unlimited) or more, got %v", ws.Rate)
		}
		if !isFinite(ws.Burst) || ws.Burst < 0 || (ws.Rate > 0 && ws.Burst < 1) {
			c.add(path+".burst", "want at least 1 with a rate, got %v: nothing would pass", ws.Burst)
		}
	}
}

// checkKeys refuses a key that two workspaces have: its callers would be served under
// the limits of the one that comes last.
func (c *checker) checkKeys(path string, list []string, seen names) {
	if len(list) > maxKeys {
		c.add(path, "want at most %d keys, got %d", maxKeys, len(list))
		return
	}
	for i, key := range list {
		p := fmt.Sprintf("%s[%d]", path, i)
		raw, err := hex.DecodeString(key)
		if err != nil || len(raw) != keyBytes {
			c.add(p, "want the SHA-256 of a key, as 64 hexadecimal digits") // the value can be the key itself: keep it out of logs
			continue
		}
		sum := string(raw)
		if first, ok := seen[sum]; ok {
			c.add(p, "the same key as %s", first)
			continue
		}
		seen[sum] = p
	}
}

func (c *checker) checkBudget(b chestnutstep.Budget) {
	if !isFinite(b.ReadRate) || b.ReadRate <= 0 || b.ReadRate > maxReadRate {
		c.add("budget.reads", "want more than 0 and at most %d calls a second, got %v", maxReadRate, b.ReadRate)
	}
	if !isFinite(b.LoadRate) || b.LoadRate < 0 {
		c.add("budget.loads", "want 0 or more, got %v", b.LoadRate)
	}
	if !isFinite(b.RetryRatio) || b.RetryRatio < 0 || b.RetryRatio > 1 {
		c.add("budget.retries", "want a share from 0 to 1, got %v", b.RetryRatio)
	}
	if b.ExportRate < 0 {
		c.add("budget.export", "want 0 or more, got %d", b.ExportRate)
	}
}

func (c *checker) checkWeight(path string, w float64) {
	if !isFinite(w) || w < 0 {
		c.add(path, "want a weight above 0, or 0 for 1, got %v", w)
	}
}

func isFinite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }
