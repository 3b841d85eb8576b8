package config

import (
	"fmt"
	"net"
	"time"
)

// DirectSettings holds the settings of an entry that forwards requests to targets without
// agents, on a platform that publishes routes and targets.
type DirectSettings struct {
	Name   string
	IP     string
	Domain string
	Region string
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// CallerAddr, ReadyAddr and ControlAddr are listening addresses; ControlAddr may be empty.
	CallerAddr  string
	ReadyAddr   string
	ControlAddr string
	// PeerAddr is the UDP address for the datagrams between entries.
	PeerAddr string
	// MetricsAddr is the listening address for metrics; empty for none.
	MetricsAddr string
	// Seeds are the peer addresses of some other entries.
	Seeds []string
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// HistorySpan is how long the store keeps the history of its changes; 0 if unknown.
	HistorySpan time.Duration
	Bounds      Bounds
	// MaxFDs limits the file descriptors of the process, and MemoryBytes its memory; 0
	// is the limit of the system.
	MaxFDs      int
	MemoryBytes int64
	// LinkMbps is the rate of the host's network link in Mbit/s; 0 if unknown.
	LinkMbps int
	// KeepReturns reports whether a refused caller is told when a place is likely, and goes before
	// new callers when it returns at that time.
	KeepReturns bool
	// HedgeRatio is the part of a service's requests that may be sent to a second target while the
	// first still works on them, from 0 to 1; 0 turns hedging off.
	HedgeRatio float64
	// Bootstrap reports whether the whole fleet starts for the first time.
	Bootstrap bool
	// UnknownFields lists fields of the settings file that this version does not support.
	UnknownFields []string
}

// Bounds are the limits that operators set for the fleet.
type Bounds struct {
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// MaxRevokeTime is the maximum time until a revoked key is refused everywhere.
	MaxRevokeTime time.Duration
	// MaxApplyTime is the maximum time until a change is in force everywhere; 0 if unset.
	MaxApplyTime time.Duration
	// RetryRatio of a service's requests, plus RetrySlack requests, can be retries
	// within RetryWindow, over all entries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdFactor times a cold target's rate, plus ColdSlack requests, can reach it per
	// second, over all entries.
	ColdFactor float64
	ColdSlack  float64
	// CapFactor is the multiple of the mean load that no target may exceed.
	CapFactor float64
}

// minFDs is the smallest number of file descriptors with which an entry can serve: its
// listeners, the source, and some connections to callers and targets.
const minFDs = 64

// MaxCallers returns the maximum number of caller connections of an entry: half of its file
// descriptors, as the other half serves targets, and no more than fit into a quarter of its memory.
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

// bytesPerCaller is the memory of a caller's connection with its request and answer, and of
// the garbage of earlier ones that has not been collected yet.
const bytesPerCaller = 96 << 10

// bodiesRatio is the part of the memory that the bodies and long headers of requests may take. With a
// quarter for connections and what answers take, it leaves room for the program and for garbage.
const bodiesRatio = 0.35

// MaxBodyMemory returns the most bytes that the bodies and long headers of all requests may take; 0 for the
// default.
func (s *DirectSettings) MaxBodyMemory() int64 { return int64(bodiesRatio * float64(s.MemoryBytes)) }

// Check returns the problems of the settings. The names map holds, by setting, the name of
// the field in the file.
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
	if s.HistorySpan < 0 {
		add("history", "must not be below 0")
	}
	if s.LinkMbps < 0 {
		add("link", "must not be below 0")
	}
	if s.Bounds.GracePeriod <= 0 {
		add("grace", "must be above 0")
	}
	return list
}
