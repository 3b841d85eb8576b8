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
	Callers Callers `json:"callers"`
	// Drain is how long a stopping process waits for requests in progress.
	Drain chestnutstep.Duration `json:"drain"`
	// Keep bounds the answers that an agent records for repeats.
	Keep Keep `json:"keep"`
	// Linger is how long a run goes on whose entry has vanished.
	Linger chestnutstep.Duration `json:"linger"`
	// Idle closes connections between processes that carried nothing so long.
	Idle chestnutstep.Duration `json:"idle"`
	// Streams bounds the requests that are open at once in this process.
	Streams int `json:"streams"`
	// Pool bounds the idle connections that are kept, to agents by an entry and
	// to the target by an agent.
	Pool int `json:"pool"`
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
	// Plain switches TLS off, also away from loopback.
	Plain bool `json:"plain"`
}

// Callers names the files for TLS towards callers.
type Callers struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// Plain switches TLS off, also away from loopback.
	Plain bool `json:"plain"`
}

// Keep bounds the recorded answers.
type Keep struct {
	Bytes int64                 `json:"bytes"`
	Time  chestnutstep.Duration `json:"time"`
}

// Defaults of Settings.
const (
	// drainDefault covers nearly all streamed answers: a planned stop waits for
	// them instead of cutting them.
	drainDefault = 30 * time.Second
	// keepBytesDefault is half of the 64 MB that a process may use, so that the
	// recorded answers of a surge can't push it over.
	keepBytesDefault = 32 << 20
	// keepTimeDefault covers a caller's repeat after its own timeout.
	keepTimeDefault = time.Minute
	// lingerDefault covers the time a caller needs to repeat a request through
	// another entry; after that the target's work is more likely wasted.
	lingerDefault = 10 * time.Second
	// idleDefault outlives the gap between two requests to the same busy agent,
	// and lets an entry's memory shrink soon after a surge.
	idleDefault = time.Minute
	// streamsDefault leaves a wide margin over the 500 streams of a busy entry.
	streamsDefault = 4096
	// poolDefault keeps the connections of an entry's usual targets open.
	poolDefault = 256
)

// settingsMax bounds a settings file in bytes: far above any real one.
const settingsMax = 1 << 20

// Defaults returns settings in which only what has a default is set.
func Defaults() *Settings {
	return &Settings{
		Drain:   chestnutstep.Duration(drainDefault),
		Keep:    Keep{Bytes: keepBytesDefault, Time: chestnutstep.Duration(keepTimeDefault)},
		Linger:  chestnutstep.Duration(lingerDefault),
		Idle:    chestnutstep.Duration(idleDefault),
		Streams: streamsDefault,
		Pool:    poolDefault,
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
	if len(raw) > settingsMax {
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
	if err := d.settle(ps.list); err != nil {
		return nil, err
	}
	return s, nil
}
