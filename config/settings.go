package config

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

// Role is what a process does in the fleet.
type Role string

// The roles.
const (
	RoleEntry Role = "entry" // takes callers' requests and proposes targets
	RoleAgent Role = "agent" // stands beside one target and decides
)

// Settings is what one process is told when it starts. It differs from a
// publication in that it holds only what is true of this process and host.
type Settings struct {
	// Name of the process: an agent's is the name of its target if unset.
	Name string `json:"name"`
	// Host and Domain say where the process runs; Region of the domain.
	Host   string `json:"host"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Listen is where an entry takes callers' HTTP, an agent gRPC.
	Listen string `json:"listen"`
	// Peer is where an entry answers other processes. An agent answers them at
	// Listen and leaves it unset.
	Peer string `json:"peer"`
	// Admin is where metrics, health and status are read.
	Admin string `json:"admin"`
	// Platform is the base URL of the platform's configuration service.
	Platform string `json:"platform"`
	// Peers are agents to ask before the process knows a publication.
	Peers []string `json:"peers"`
	// Target is what an agent stands beside.
	Target Target `json:"target"`
	// TLS between the system's processes.
	TLS TLS `json:"tls"`
	// Callers is TLS towards the callers of an entry.
	Callers CallerTLS `json:"callers"`
	// DrainTimeout is how long a stopping process waits for requests in progress.
	DrainTimeout chestnutstep.Duration `json:"drain"`
	// Keep bounds the answers that an agent records for repeats.
	Keep KeepLimits `json:"keep"`
	// Linger is how long a run goes on whose entry has vanished.
	Linger chestnutstep.Duration `json:"linger"`
	// IdleTimeout closes connections between processes that carried nothing so long.
	IdleTimeout chestnutstep.Duration `json:"idle"`
	// MaxStreams bounds the requests that are open at once in this process.
	MaxStreams int `json:"streams"`
	// MaxIdleConns bounds the idle connections that are kept, to agents by an entry and
	// to the target by an agent.
	MaxIdleConns int `json:"pool"`
}

// Target is the back end that an agent stands beside.
type Target struct {
	Name string `json:"name"`
	// URL under which the agent calls the target.
	URL string `json:"url"`
	// Kind is chestnutstep.KindEngine or chestnutstep.KindService.
	Kind string `json:"kind"`
}

// TLS names the files for mutual TLS between processes.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// CA signs the certificates of the other processes.
	CA string `json:"ca"`
	// Plaintext switches TLS off, also away from loopback.
	Plaintext bool `json:"plain"`
}

// CallerTLS names the files for TLS towards callers.
type CallerTLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// Plaintext switches TLS off, also away from loopback.
	Plaintext bool `json:"plain"`
}

// KeepLimits bounds the recorded answers.
type KeepLimits struct {
	MaxBytes int64                 `json:"bytes"`
	MaxAge   chestnutstep.Duration `json:"time"`
}

// Defaults of Settings.
const (
	// defaultDrain covers nearly all streamed answers: a planned stop waits for
	// them instead of cutting them.
	defaultDrain = 30 * time.Second
	// defaultKeepBytes is half of the 64 MB that a process may use, so that the
	// recorded answers of a surge can't push it over.
	defaultKeepBytes = 32 << 20
	// defaultKeepTime covers a caller's repeat after its own timeout.
	defaultKeepTime = time.Minute
	// defaultLinger covers the time a caller needs to repeat a request through
	// another entry; after that the target's work is more likely wasted.
	defaultLinger = 10 * time.Second
	// defaultIdle outlives the gap between two requests to the same busy agent,
	// and lets an entry's memory shrink soon after a surge.
	defaultIdle = time.Minute
	// defaultStreams leaves a wide margin over the 500 streams of a busy entry.
	defaultStreams = 4096
	// defaultPool keeps the connections of an entry's usual targets open.
	defaultPool = 256
)

// maxSettingsBytes bounds a settings file in bytes: far above any real one.
const maxSettingsBytes = 1 << 20

// Defaults returns settings in which only what has a default is set.
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

// Load reads and checks the settings of a process. The error lists all
// problems (ErrInvalid), or says that the file can't be read.
func Load(path string, role Role) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSettings(path, raw, role)
}

// ParseSettings is Load for content that was read already; name stands for the
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
