package config

import (
	"net"
	"net/netip"
	"net/url"
)

// addressProblem checks an address that others connect to, which must be an IP and a port. Names
// are refused because the fleet runs without a resolver: one that does not respond would
// delay every new connection. It returns "" for a valid address.
func addressProblem(s string) string {
	if s == "" {
		return "missing; want IP and port, such as \"10.0.0.1:7000\""
	}
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return "want IP and port, such as \"10.0.0.1:7000\", got \"" + s + "\""
	}
	if ap.Port() == 0 {
		return "port 0 is no address that others can connect to"
	}
	return ""
}

// isLoopback reports whether an address is on the loopback interface.
func isLoopback(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && ap.Addr().IsLoopback()
}

// urlProblem checks the URL of an HTTP service whose host is an IP. It returns "" for a valid URL.
func urlProblem(s string) string {
	if s == "" {
		return "missing; want a URL, such as \"http://10.0.0.1:7000\""
	}
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "want an http or https URL, got \"" + s + "\""
	}
	if net.ParseIP(u.Hostname()) == nil {
		return "want an IP as the URL's host, got \"" + u.Hostname() + "\""
	}
	if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return "want a URL without user, query or fragment"
	}
	return ""
}
