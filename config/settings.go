package config

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

// Role is the function of a process in the fleet.
type Role string

// The roles.
const (
	RoleEntry Role = "entry" // accepts callers' requests and proposes targets
	RoleAgent Role = "agent" // runs next to one target and decides which requests it accepts
)

// Settings holds the settings that a process reads when it starts. Unlike a
// publication, it contains only values that apply to this process and host.
type Settings struct {
	// Name of the process; if unset, an agent uses the name of its target.
	Name string `json:"name"`
	// Host and Domain are where the process runs; Region is the region of the domain.
	Host   string `json:"host"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Listen is the address for callers' HTTP at an entry, and for gRPC at an agent.
	Listen string `json:"listen"`
	// Peer is the address for other processes at an entry. An agent serves them at
	// Listen and leaves it unset.
	Peer string `json:"peer"`
	// Admin is the address for metrics, health and status.
	Admin string `json:"admin"`
	// Platform is the base URL of the platform's configuration service.
	Platform string `json:"platform"`
	// Peers are agents to ask for the publication when the process starts.
	Peers []string `json:"peers"`
	// Target is the target next to which an agent runs.
	Target Target `json:"target"`
	// TLS between the system's processes.
	TLS TLS `json:"tls"`
	// Callers is the TLS configuration for the callers of an entry.
	Callers CallerTLS `json:"callers"`
	// DrainTimeout is how long a stopping process waits for requests in flight.
	DrainTimeout chestnutstep.Duration `json:"drain"`
	// Keep limits the answers that an agent records for retries.
	Keep KeepLimits `json:"keep"`
	// Linger is how long a run continues after its entry has disconnected.
	Linger chestnutstep.Duration `json:"linger"`
	// IdleTimeout closes connections between processes that were idle for this time.
	IdleTimeout chestnutstep.Duration `json:"idle"`
	// MaxStreams is the maximum number of concurrent requests in this process.
	MaxStreams int `json:"streams"`
	// MaxIdleConns is the maximum number of idle connections that are kept open: by an entry to
	// agents, and by an agent to its target.
	MaxIdleConns int `json:"pool"`
}

// Target is the back end next to which an agent runs.
type Target struct {
	Name string `json:"name"`
	// URL under which the agent calls the target.
	URL string `json:"url"`
	// Kind is chestnutstep.KindEngine or chestnutstep.KindService.
	Kind string `json:"kind"`
}

// TLS holds the names of the files for mutual TLS between processes.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA is the file of the certificates that sign those of the other processes.
	CA string `json:"ca"`
	// Plaintext disables TLS, also for addresses that are not on loopback.
	Plaintext bool `json:"plain"`
}

// CallerTLS holds the names of the files for TLS with callers.
type CallerTLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// Plaintext disables TLS, also for addresses that are not on loopback.
	Plaintext bool `json:"plain"`
}

// KeepLimits limits the recorded answers.
type KeepLimits struct {
	MaxBytes int64                 `json:"bytes"`
	MaxAge   chestnutstep.Duration `json:"time"`
}

// Defaults of Settings.
const (
	// defaultDrain covers nearly all streamed answers, so that a planned stop completes
	// them.
	defaultDrain = 30 * time.Second
	// defaultKeepBytes is half of the 64 MB that a process may use, so that the
	// answers recorded during a surge can't exceed it.
	defaultKeepBytes = 32 << 20
	// defaultKeepTime covers the retry of a caller after its own timeout.
	defaultKeepTime = time.Minute
	// defaultLinger covers the time that a caller needs to retry a request through
	// another entry. After that the target's work is more likely wasted.
	defaultLinger = 10 * time.Second
	// defaultIdle is longer than the time between two requests to the same busy agent,
	// and short enough that an entry's memory shrinks soon after a surge.
	defaultIdle = time.Minute
	// defaultStreams leaves a wide margin over the 500 streams of a busy entry.
	defaultStreams = 4096
	// defaultPool keeps the connections to the usual targets of an entry open.
	defaultPool = 256
)

// maxSettingsBytes is the maximum size of a settings file in bytes, far above any real one.
const maxSettingsBytes = 1 << 20

// Defaults returns settings with all defaults set and the other fields empty.
func Defaults() *Settings {
	return &Settings{
		DrainTimeout: chestnutstep.Duration(defaultDrain),
		Keep:         KeepLimits{MaxBytes: defaultKeepBytes, MaxAge: chestnutstep.Duration(defaultKeepTime)},
		Linger:       chestnutstep.Duration(defaultLinger),
		IdleTimeout:  chestnutstep.Duration(defaultIdle),
		MaxStreams:   defaultStreams,
		MaxIdleConns: defaultPool,
	}
}

// Load reads and checks the settings of a process. The error is an ErrInvalid with all
// problems, or the error from reading the file.
func Load(path string, role Role) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSettings(path, raw, role)
}

// ParseSettings is Load for content that was already read; name is the name of the
// file in errors.
func ParseSettings(name string, raw []byte, role Role) (*Settings, error) {
	if len(raw) > maxSettingsBytes {
		return nil, ErrInvalid{Problems: []Problem{{File: name, Text: "larger than 1 MiB"}}}
	}
	d := document{file: name, raw: raw}
	s := Defaults()
	d.read(s)
	if s.Name == "" {
		s.Name = s.Target.Name
	}
	var ps problems
	s.check(&ps, role)
	if err := d.mergeProblems(ps.list); err != nil {
		return nil, err
	}
	return s, nil
}
