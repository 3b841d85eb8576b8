// Package soak runs the real program as several processes on one machine and
// injects random, overlapping faults from outside while callers send requests. It
// then compares the callers' answers with the targets' records to check that the
// guarantees of the fleet held during the run.
package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/pipe"
	"chestnutstep.example/chestnutstep/stand"
)

const (
	// entryCount and targetCount are large enough that several entries and targets
	// can be down at the same time.
	entryCount  = 5
	targetCount = 4
	targetSlots = 16
	// unframedEvery is such that one in so many targets sends answers that end with their connection.
	unframedEvery = 3
	// One in longEventsEvery targets sends events of longEventBytes: longer than the buffers of an entry.
	longEventsEvery = 4
	longEventBytes  = 3000
	// eventCount is the number of events of a stream.
	eventCount = 6
	// callerCount is the number of concurrent callers; each keeps its own connections.
	callerCount = 6
	// revokeDelay is the maximum time for which a revoked key stays valid (revokeMs in
	// the settings); revokeSlack allows for the time that a request takes to reach its
	// target.
	revokeDelay = 2 * time.Second
	revokeSlack = 500 * time.Millisecond
	// gracePeriod is the maximum time from SIGTERM to the exit of a process.
	gracePeriod = 5 * time.Second
	// settleTime is the maximum time from the end of the last fault to normal operation.
	settleTime = 6 * time.Second
)

// pauseStream, killStream and strainStream select the random numbers of the pauser, the killer and the strain.
const (
	pauseStream  = 1 << 32
	killStream   = 1 << 33
	strainStream = 1 << 34
)

// builds are the software versions of the targets, in turn.
var builds = []string{"1", "2"}

// Soak is one run. Set the fields before Run.
type Soak struct {
	// Program is the path of the binary to run.
	Program string
	// Dir is the directory for settings and logs.
	Dir  string
	Seed uint64
	// Duration is the time for which faults are injected.
	Duration time.Duration
	// Standin is the path of the standin binary, for targets that are processes; empty for none.
	Standin string
	// CleanBreaks makes the fault that breaks all connections of a target close them in the same way as a
	// process that dies; otherwise those of answers that end with their connection are reset.
	CleanBreaks bool
	// StreamsOnly limits the run to streams, to targets that are processes, and to faults of processes.
	StreamsOnly bool
	// HardLoad gives targets few slots and uneven speed, which they report, and starts entries with kept returns and
	// hedges.
	HardLoad bool
	// MemoryMb is the memory that an entry may take, in the settings; 0 for no limit.
	MemoryMb int

	store   *stand.Store
	entries []*entry
	targets []*target
	keys    []*key
	version int
	rand    *rand.Rand
	faults  []string

	mu          sync.Mutex
	requests    []*request
	lastRequest int
	// violations are broken guarantees detected while faults were injected or ended.
	violations []string
	stop       chan struct{}
	pauser     pauser
	processes  []*process
	killer     killer
	strain     *rand.Rand
	again      []time.Time // second sends, see checkLimits
}

// target is a target behind a relay that can hold back data and close connections.
type target struct {
	*stand.Target
	relay *pipe.Relay
	// leavesAt is the time at which the target was set to draining; zero if it was not.
	leavesAt time.Time
	// disturbances are the times in which data was held back on the way to the target.
	disturbances disturbances
}

// key is a caller's key and the time of its revocation, zero if it is valid.
type key struct {
	text      string
	revokedAt time.Time
}

// request is one request of a caller and its outcome.
type request struct {
	id              string
	kind            string
	key             *key
	entry           *entry
	sentAt, endedAt time.Time
	// resumes is the first attempt of a stream that is taken up after an event.
	resumes string
	after   int
	// leaves is set if the caller leaves in the middle of the stream to take it up elsewhere.
	leaves bool
	// path is the end of the path: stand.LongPath if the caller leaves early.
	path string
	// content is the id of the caller's first attempt, which is another one if the caller came back after a refusal.
	content string
	// timeout is the caller's remaining time, stays the time until it leaves, retryAfter that of a refusal.
	timeout, stays, retryAfter time.Duration
	// build is the build that began the stream; empty if it is unknown.
	build  string
	status int
	text   string
	// result is the class of the answer; see resultOf.
	result string
}

// Faults returns the injected faults with their times, for the report of a failed run.
func (s *Soak) Faults() []string { return s.faults }

// Run performs the run. It returns an error if the start fails or a guarantee is
// broken.
func (s *Soak) Run() error {
	s.rand = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.stop = make(chan struct{})
	s.pauser = pauser{soak: s, rand: rand.New(rand.NewPCG(s.Seed, pauseStream))}
	s.killer = killer{soak: s, rand: rand.New(rand.NewPCG(s.Seed, killStream))}
	s.strain = rand.New(rand.NewPCG(s.Seed, strainStream))
	defer s.close()
	if err := s.start(); err != nil {
		return err
	}
	var all sync.WaitGroup
	callers := callerCount
	if s.HardLoad {
		callers = hardCallerCount
	}
	for i := range callers {
		all.Add(1)
		go (&caller{soak: s, number: i, rand: rand.New(rand.NewPCG(s.Seed, uint64(i)+1))}).run(&all)
	}
	s.injectFaults()
	s.clearFaults()
	time.Sleep(settleTime)
	healed := time.Now()
	time.Sleep(2 * time.Second)
	close(s.stop)
	all.Wait()
	time.Sleep(time.Second)
	return s.check(healed)
}

func (s *Soak) start() error {
	s.store = stand.NewStore()
	for i := range 4 {
		s.keys = append(s.keys, &key{text: fmt.Sprintf("key-%d", i)})
	}
	s.publish()
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return errors.Wrap(err, "create directory of the run")
	}
	for i := 0; i < targetCount && !s.StreamsOnly; i++ {
		if err := s.addTarget(); err != nil {
			return err
		}
	}
	if err := s.startProcesses(); err != nil {
		return err
	}
	seed := ""
	for i := range entryCount {
		e, err := s.newEntry(i, seed)
		if err != nil {
			return err
		}
		seed = e.controlAddr
		s.entries = append(s.entries, e)
	}
	for _, e := range s.entries {
		if err := e.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// addTarget starts a target and adds it to the store.
func (s *Soak) addTarget() error {
	x := &target{Target: stand.NewTarget(fmt.Sprintf("i-%d", len(s.targets)))}
	x.EventCount, x.EventInterval = eventCount, 10*time.Millisecond
	x.Build = builds[len(s.targets)%len(builds)]
	if len(s.targets)%unframedEvery == unframedEvery-1 {
		x.Framing = stand.ByClose
	}
	if len(s.targets)%longEventsEvery == longEventsEvery-1 {
		x.EventBytes = longEventBytes
	}
	if s.HardLoad {
		x.NamesItself, x.BodyInterval = true, 5*time.Millisecond
		x.SetCapacity(usualCapacity)
	}
	x.relay = &pipe.Relay{Backend: x.Address(), ResetOnBreak: x.Framing == stand.ByClose && !s.CleanBreaks}
	if err := x.relay.Start(); err != nil {
		return errors.Wrap(err, "start relay to the target")
	}
	s.targets = append(s.targets, x)
	s.putTarget(x, "ready")
	return nil
}

func (s *Soak) putTarget(x *target, state string) {
	s.store.PutTarget(x.Name, stand.TargetEntry{
		Service: "s", Address: x.relay.Addr(), Zone: "z", Slots: targetSlots, State: state, BornMs: time.Now().UnixMilli(), Version: x.Build,
	})
}

// publish writes a new version of the configuration with the keys that are valid.
func (s *Soak) publish() {
	s.version += 1 + s.rand.IntN(3)
	route := func(name, kind string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "soak.example", "prefix": "/" + name + "/", "type": kind, "service": "s",
			"timeoutMs": 1500, "latencyTargetMs": 200, "maxAttempts": maxAttempts, "resumable": resumable,
		}
	}
	var keys []string
	for _, k := range s.keys {
		if k.revokedAt.IsZero() {
			keys = append(keys, k.text)
		}
	}
	s.store.Put("op/config", map[string]any{
		"version":  s.version,
		"routes":   []any{route("book", "unsafe", false), route("look", "safe", false), route("talk/stream", "stream", false), route("tell/stream", "stream", true)},
		"services": []any{map[string]any{"name": "s", "healthPath": "/healthz", "maxConnections": 200}},
		"limits":   map[string]any{"maxBodyBytes": 100000, "idleTimeoutMs": 4000},
		"tenants":  []any{map[string]any{"name": "ws", "apiKeys": keys}},
	})
}

func (s *Soak) close() {
	for _, e := range s.entries {
		e.kill()
		e.storeServer.Close()
	}
	for _, x := range s.targets {
		x.relay.Stop()
		x.Close()
	}
	for _, p := range s.processes {
		p.Close()
	}
}

// logFile returns the path of the log of entry i.
func (s *Soak) logFile(i int) string { return filepath.Join(s.Dir, fmt.Sprintf("entry-%d.log", i)) }
