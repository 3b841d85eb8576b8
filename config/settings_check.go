package config

import (
	"fmt"
	"regexp"

	"chestnutstep.example/chestnutstep"
)

// namePattern is the form of every name in settings and publications. Names become
// metric labels, header values and map keys, so they contain only characters that need
// no quoting there.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameRule = "want a name of letters, digits, '.', '_' and '-', at most 63 long"

func checkName(ps *problems, path, s string) bool {
	switch {
	case s == "":
		ps.add(path, "missing")
	case !namePattern.MatchString(s):
		ps.add(path, "%s, got %q", nameRule, s)
	default:
		return true
	}
	return false
}

func checkAddress(ps *problems, path, s string) {
	if text := addressProblem(s); text != "" {
		ps.add(path, "%s", text)
	}
}

func checkURL(ps *problems, path, s string) {
	if text := urlProblem(s); text != "" {
		ps.add(path, "%s", text)
	}
}

func (s *Settings) check(ps *problems, role Role) {
	checkName(ps, "name", s.Name)
	checkName(ps, "host", s.Host)
	checkName(ps, "domain", s.Domain)
	checkName(ps, "region", s.Region)
	checkAddress(ps, "listen", s.Listen)
	checkAddress(ps, "admin", s.Admin)
	checkURL(ps, "platform", s.Platform)
	for i, p := range s.Peers {
		checkAddress(ps, fmt.Sprintf("peers[%d]", i), p)
	}
	switch role {
	case RoleEntry:
		s.checkEntry(ps)
	case RoleAgent:
		s.checkAgent(ps)
	default:
		ps.add("", "unknown role %q", role)
	}
	s.checkTLS(ps)
	s.checkBounds(ps)
}

func (s *Settings) checkEntry(ps *problems) {
	checkAddress(ps, "peer", s.Peer)
	if s.Target != (Target{}) {
		ps.add("target", "an entry has no target of its own")
	}
	c := s.Callers
	if (c.Cert == "") != (c.Key == "") {
		ps.add("callers", "want both cert and key, or neither")
	}
	if c.Plaintext && c.Cert != "" {
		ps.add("callers", "plain excludes cert and key")
	}
	if c.Cert == "" && !c.Plaintext && !isLoopback(s.Listen) {
		ps.add("callers", "want cert and key, or \"plain\": true, as listen is not on loopback")
	}
}

func (s *Settings) checkAgent(ps *problems) {
	if s.Peer != "" {
		ps.add("peer", "an agent answers its peers at listen")
	}
	if s.Callers != (CallerTLS{}) {
		ps.add("callers", "an agent has no callers of its own")
	}
	checkName(ps, "target.name", s.Target.Name)
	checkURL(ps, "target.url", s.Target.URL)
	switch s.Target.Kind {
	case "", chestnutstep.KindEngine, chestnutstep.KindService:
	default:
		ps.add("target.kind", "want %q or %q, got %q", chestnutstep.KindEngine, chestnutstep.KindService, s.Target.Kind)
	}
}

// checkTLS refuses settings without TLS beyond loopback unless they set plain explicitly.
// A forgotten certificate must not disable TLS.
func (s *Settings) checkTLS(ps *problems) {
	t := s.TLS
	hasFiles := t.Cert != "" || t.Key != "" || t.CA != ""
	switch {
	case hasFiles && (t.Cert == "" || t.Key == "" || t.CA == ""):
		ps.add("tls", "want all of cert, key and ca, or none")
	case hasFiles && t.Plaintext:
		ps.add("tls", "plain excludes cert, key and ca")
	case !hasFiles && !t.Plaintext && !s.isLoopbackOnly():
		ps.add("tls", "want cert, key and ca, or \"plain\": true, as addresses are not all on loopback")
	}
}

// isLoopbackOnly reports whether the process talks to other processes only on loopback.
func (s *Settings) isLoopbackOnly() bool {
	if !isLoopback(s.Listen) || (s.Peer != "" && !isLoopback(s.Peer)) {
		return false
	}
	for _, p := range s.Peers {
		if !isLoopback(p) {
			return false
		}
	}
	return true
}

func (s *Settings) checkBounds(ps *problems) {
	for _, c := range []struct {
		path string
		d    chestnutstep.Duration
	}{
		{"drain", s.DrainTimeout}, {"keep.time", s.Keep.MaxAge}, {"linger", s.Linger}, {"idle", s.IdleTimeout},
	} {
		if c.d <= 0 {
			ps.add(c.path, "want a duration above 0, got %s", c.d.Std())
		}
	}
	if s.Keep.MaxBytes <= 0 {
		ps.add("keep.bytes", "want a number of bytes above 0, got %d", s.Keep.MaxBytes)
	}
	if s.MaxStreams < 1 {
		ps.add("streams", "want at least 1, got %d", s.MaxStreams)
	}
	if s.MaxIdleConns < 1 {
		ps.add("pool", "want at least 1, got %d", s.MaxIdleConns)
	}
}

// Encrypted reports whether the process uses mutual TLS with other processes.
func (s *Settings) Encrypted() bool { return s.TLS.Cert != "" }

// EncryptedCallers reports whether an entry's callers use TLS.
func (s *Settings) EncryptedCallers() bool { return s.Callers.Cert != "" }
