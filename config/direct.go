package config

import (
	"fmt"
	"net"
	"time"
)

// DirectSettings is the settings of an entry that brings requests to targets without
// agents, on a platform that publishes routes and targets.
type DirectSettings struct {
	Name   string
	IP     string
	Domain string
	Region string
	// Regions gives the region of each failure domain.
	Regions map[string]string
	// Callers, Ready and Control are listening addresses; Control may be empty.
	CallerAddr  string
	ReadyAddr   string
	ControlAddr string
	// PeerAddr is the UDP address for the datagrams between entries.
	PeerAddr string
	// MetricsAddr is where metrics are read; empty for none.
	MetricsAddr string
	// Seeds are Peer addresses of some other entries.
	Seeds []string
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	Bounds    Bounds
	// MaxFDs is how many descriptors the process may have, and Memory how many bytes; 0
	// for as many as the system allows.
	MaxFDs      int
	MemoryBytes int64
	// LinkMbps is the rate of the host's link in Mbit/s; 0 for an unknown one.
	LinkMbps int
	// Bootstrap says that the whole fleet starts for the first time.
	Bootstrap bool
	// UnknownFields are fields of the settings file that this version does not know.
	UnknownFields []string
}

// Bounds are the limits that operators set for the fleet.
type Bounds struct {
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// MaxRevokeTime is when a key that was taken away must be dead everywhere.
	MaxRevokeTime time.Duration
	// MaxApplyTime is the time in which a change must be in force everywhere; 0 where none is
	// set.
	MaxApplyTime time.Duration
	// RetryRatio of a service's requests, and RetrySlack more, may be repeats
	// within RetryWindow, over all entries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdFactor times a cold target's rate, and ColdSlack more, may reach it in
	// a second, over all entries.
	ColdFactor float64
	ColdSlack  float64
	// CapFactor is the multiple of the mean load that no target may carry.
	CapFactor float64
}

// minFDs is the fewest descriptors with which an entry can serve: its listeners, the
// source, and some connections to callers and targets.
const minFDs = 64

// MaxCallers is how many connections of callers an entry holds: half of its descriptors,
// as the other half serves targets, and no more than a quarter of its memory carries.
func (s *DirectSettings) MaxCallers(maxFDs int) int {
	if s.MaxFDs > 0 {
		maxFDs = min(maxFDs, s.MaxFDs)
	}
	limit := maxFDs / 2
	if s.MemoryBytes > 0 {
		limit = min(limit, int(s.MemoryBytes/4/bytesPerCaller))
	}
	return limit
}

// bytesPerCaller is the memory of a caller's connection with its request and answer, and with
// what the garbage collector has yet to clear away of earlier ones.
const bytesPerCaller = 96 << 10

// Check returns what is wrong with the settings. The names map gives the field
// of the file that each setting came from.
func (s *DirectSettings) Check(file string, names map[string]string) []Problem {
	var list []Problem
	add := func(name, text string) {
		list = append(list, Problem{File: file, Path: names[name], Text: text})
	}
	if s.Name == "" {
		add("name", "must be set")
	}
	if net.ParseIP(s.IP) == nil {
		add("ip", "must be an IP address")
	}
	for name, addr := range map[string]string{"callers": s.CallerAddr, "ready": s.ReadyAddr, "peer": s.PeerAddr, "store": s.StoreAddr} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			add(name, "must be an address, IP and port")
		}
	}
	if s.MaxFDs < 0 || s.MaxFDs > 0 && s.MaxFDs < minFDs {
		add("files", fmt.Sprintf("must be 0 or at least %d", minFDs))
	}
	if s.MemoryBytes < 0 {
		add("memory", "must not be below 0")
	}
	if s.LinkMbps < 0 {
		add("link", "must not be below 0")
	}
	if s.Bounds.GracePeriod <= 0 {
		add("grace", "must be above 0")
	}
	return list
}
