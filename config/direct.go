package config

import (
	"fmt"
	"net"
	"time"
)

// Direct is the settings of an entry that brings requests to targets without
// agents, on a platform that publishes routes and targets.
type Direct struct {
	Name   string
	IP     string
	Domain string
	Region string
	// Regions gives the region of each failure domain.
	Regions map[string]string
	// Callers, Ready and Control are listening addresses; Control may be empty.
	Callers string
	Ready   string
	Control string
	// Peer is the UDP address for the datagrams between entries.
	Peer string
	// Metrics is where metrics are read; empty for none.
	Metrics string
	// Seeds are Peer addresses of some other entries.
	Seeds []string
	// Store is the address of the platform's store.
	Store  string
	Bounds Bounds
	// Files is how many descriptors the process may have, and Memory how many bytes; 0
	// for as many as the system allows.
	Files  int
	Memory int64
	// Link is the rate of the host's link in Mbit/s; 0 for an unknown one.
	Link int
	// First says that the whole fleet starts for the first time.
	First bool
	// Unknown are fields of the settings file that this version does not know.
	Unknown []string
}

// Bounds are the limits that operators set for the fleet.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Revoke is when a key that was taken away must be dead everywhere.
	Revoke time.Duration
	// Within is the time in which a change must be in force everywhere; 0 where none is
	// set.
	Within time.Duration
	// RetryShare of a service's requests, and RetrySlack more, may be repeats
	// within RetryWindow, over all entries.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOver times a cold target's rate, and ColdSlack more, may reach it in
	// a second, over all entries.
	ColdOver  float64
	ColdSlack float64
	// Cap is the multiple of the mean load that no target may carry.
	Cap float64
}

// filesLeast is the fewest descriptors with which an entry can serve: its listeners, the
// source, and some connections to callers and targets.
const filesLeast = 64

// CallersMost is how many connections of callers an entry holds: half of its descriptors,
// as the other half serves targets, and no more than a quarter of its memory carries.
func (s *Direct) CallersMost(files int) int {
	if s.Files > 0 {
		files = min(files, s.Files)
	}
	most := files / 2
	if s.Memory > 0 {
		most = min(most, int(s.Memory/4/callerBytes))
	}
	return most
}

// callerBytes is the memory of a caller's connection with its request and answer, and with
// what the garbage collector has yet to clear away of earlier ones.
const callerBytes = 96 << 10

// Check returns what is wrong with the settings. The names map gives the field
// of the file that each setting came from.
func (s *Direct) Check(file string, names map[string]string) []Problem {
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
	for name, addr := range map[string]string{"callers": s.Callers, "ready": s.Ready, "peer": s.Peer, "store": s.Store} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			add(name, "must be an address, IP and port")
		}
	}
	if s.Files < 0 || s.Files > 0 && s.Files < filesLeast {
		add("files", fmt.Sprintf("must be 0 or at least %d", filesLeast))
	}
	if s.Memory < 0 {
		add("memory", "must not be below 0")
	}
	if s.Link < 0 {
		add("link", "must not be below 0")
	}
	if s.Bounds.Grace <= 0 {
		add("grace", "must be above 0")
	}
	return list
}
