// Package meter holds a process's metrics: one struct of typed counters,
// gauges and histograms over tally, served to a Prometheus scraper. The number of series of
// each metric is limited, regardless of the values that callers send.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// prefix is the first part of all metric names.
const prefix = "chestnutstep"

// reportInterval is the interval at which counts are copied from the scope to the scraped
// registry. It is shorter than any scrape interval, and a pass over a few hundred series is short.
const reportInterval = time.Second

// Set contains all metrics of a process. An entry does not use the agent's fields, nor an
// agent those of an entry: a metric that was never used is not exported.
type Set struct {
	Entry       Entry
	Agent       Agent
	Relay       Relay
	Workspaces  Workspaces
	Publication Publication
	Process     Process

	handler http.Handler
	closer  io.Closer
}

// Entry contains the metrics of an entry.
type Entry struct {
	Requests     Counter   // answers to callers, by code
	OpenRequests Gauge     // requests in progress
	FirstByte    Histogram // time to the first byte of an answer
	Answer       Histogram // time to the last byte of an answer
	Offers       Counter   // offers to agents, by answer
	Retries      Counter   // retries, by whether the budget allowed them
	Attached     Counter   // answers resumed after the link broke
	Hints        Counter   // hints, by result
	AgentLinks   Gauge     // open connections to agents
}

// Agent contains the metrics of an agent.
type Agent struct {
	Offers       Counter   // offers, by verdict
	Wait         Histogram // time in the queue
	FirstToken   Histogram // from the call of the target to its first byte
	Runs         Counter   // runs, by result
	Running      Gauge
	Waiting      Gauge
	Cap          Gauge
	Mean         Gauge
	MeanAge      Gauge
	Weight       Gauge
	Cold         Gauge
	Crashes      Counter
	CachedTokens Counter // prompt tokens found in the target's cache
	Moves        Counter // KV cache moves, by direction and result
	MovedBytes   Counter // bytes of KV cache moved
	Tickets      Counter
	Orders       Counter
}

// Relay contains the metrics of an entry without agents.
type Relay struct {
	Requests          Counter   // answers to callers, by kind of route and result
	OpenRequests      Gauge     // requests in progress
	FirstByte         Histogram // time to the first byte of an answer
	Answer            Histogram // time to the last byte of an answer
	Tries             Counter   // attempts at targets, by service and result
	Silent            Counter   // requests that a target's host did not acknowledge
	Verified          Counter   // requests that opened a connection to verify a host
	RetriesDenied     Counter   // retries denied by the retry budget
	Hedges            Counter   // requests sent to a second target while the first worked on them
	HedgesWon         Counter   // those that the second target answered first
	HedgesDenied      Counter   // those that were not sent, by reason
	PromptTokens      Counter   // prompt tokens, by whether they were expected to be cached
	Peers             Gauge     // other entries of the fleet
	ProofAge          Gauge     // age of the proof that the configuration is current
	Version           Gauge     // version of the configuration in force
	Targets           Gauge     // targets in the configuration
	DatagramBytes     Counter   // bytes of datagrams between entries
	ConnectionsOpened Counter   // connections to targets opened
	LogLinesDropped   Counter   // log lines dropped
	Refused           Counter   // requests refused for lack of a place, by workspace and reason
	BodyBytes         Gauge     // memory that bodies of requests take, by size
	PlacesTaken       Gauge     // fraction of a service's places that was taken at the last request
	PlacesKept        Gauge     // fraction of them reserved for requests within their share
	CallerConnections Gauge     // connections of callers
	Reads             Counter   // reads of facts, by topic and source
	ReadBytes         Counter   // bytes of these reads
	ReadGap           Histogram // age of the last proof when changes arrived
	TargetsEnded      Counter   // targets that ended while requests ran on them, by proof
	CrashAge          Histogram // age of a crash when a peer reported it
	Ends              Counter   // answers without length or chunks, by what showed whether they are whole
	Claims            Counter   // claims of refused callers, by service and what became of them
	ClaimLookups      Counter   // lookups of claims, by result
	ClaimsExpired     Counter   // claims that nobody used, at their first holder
	Resumed           Counter   // streams that callers took up, by how their build was found
	Pauses            Counter   // pauses that targets asked for, by service and result
	PausedTargets     Gauge     // targets that must not receive requests now
	Readings          Counter   // load reports of targets, by what became of them
	FreshReadings     Gauge     // targets with a load report that is used now
	SlowTargets       Gauge     // those of them that are slow
}

// Workspaces contains the metrics of the fairness report between workspaces, summed
// over all agents.
type Workspaces struct {
	Requests Counter
	Tokens   Counter
	Wait     Histogram
}

// Publication contains the metrics of a process's configuration and peers.
type Publication struct {
	Version      Gauge
	Changes      Counter
	GossipBytes  Counter
	GossipRounds Counter
}

// Process contains the metrics that all processes have.
type Process struct {
	Audit  Counter
	Memory Gauge // memory of the process, by use
}

// binder binds a field of the set to its description.
type binder interface {
	bind(scope tally.Scope, e description, t *topWorkspaces)
}

// metric is one field of the set with its description.
type metric struct {
	v    binder
	desc description
}

func (s *Set) metrics() []metric {
	profile := []string{labelProfile}
	result := []string{labelProfile, labelResult}
	return []metric{
		{&s.Entry.Requests, description{"entry_requests_total", kindCounter, "requests", result, "Answers to callers by code: ok, or the reason of the refusal or of the broken answer."}},
		{&s.Entry.OpenRequests, description{"entry_open", kindGauge, "streams", nil, "Requests of callers in progress."}},
		{&s.Entry.FirstByte, description{"entry_first_byte_seconds", kindHistogram, "seconds", profile, "From the request's headers to the first byte of the answer's body."}},
		{&s.Entry.Answer, description{"entry_answer_seconds", kindHistogram, "seconds", profile, "From the request's headers to the end of a whole answer."}},
		{&s.Entry.Offers, description{"entry_offers_total", kindCounter, "offers", result, "Offers to agents: accept, refuse, silent where none came in time, or broken where the link broke or did not open."}},
		{&s.Entry.Retries, description{"entry_retries_total", kindCounter, "requests", result, "Repeats after a failure: spent, or denied by the retry budget."}},
		{&s.Entry.Attached, description{"entry_attached_total", kindCounter, "links", result, "Broken links to agents in mid-answer: ok when taken up again, else the reason."}},
		{&s.Entry.Hints, description{"entry_hints_total", kindCounter, "requests", result, "Requests with a hint: kept when the hinted target served, lost when another did."}},
		{&s.Entry.AgentLinks, description{"entry_links", kindGauge, "connections", nil, "Open connections to agents."}},
		{&s.Agent.Offers, description{"agent_offers_total", kindCounter, "offers", result, "Offers of entries: accept, wait, or the reason of the refusal."}},
		{&s.Agent.Wait, description{"agent_wait_seconds", kindHistogram, "seconds", profile, "Time that requests waited at the target before they ran."}},
		{&s.Agent.FirstToken, description{"agent_first_token_seconds", kindHistogram, "seconds", profile, "From the call of the target to the first byte of its answer's body."}},
		{&s.Agent.Runs, description{"agent_runs_total", kindCounter, "requests", result, "Requests handed to the target: served, canceled, or the reason of the broken answer."}},
		{&s.Agent.Running, description{"agent_running", kindGauge, "requests", nil, "Requests that run at the target."}},
		{&s.Agent.Waiting, description{"agent_waiting", kindGauge, "requests", nil, "Requests that wait at the target."}},
		{&s.Agent.Cap, description{"agent_cap", kindGauge, "requests", nil, "The most that may run now: cold-start cap, multiple of the mean, or slots."}},
		{&s.Agent.Mean, description{"agent_mean", kindGauge, "requests", nil, "Estimated mean load of the model's targets for one unit of weight."}},
		{&s.Agent.MeanAge, description{"agent_mean_age_seconds", kindGauge, "seconds", nil, "Age of the oldest sample that the mean rests on."}},
		{&s.Agent.Weight, description{"agent_weight", kindGauge, "share", nil, "Share of its full load that the target asks for: 0 to 1."}},
		{&s.Agent.Cold, description{"agent_cold", kindGauge, "0 or 1", nil, "1 while the target has not proven warm."}},
		{&s.Agent.Crashes, description{"agent_crashes_total", kindCounter, "crashes", nil, "Times that the target died or restarted."}},
		{&s.Agent.CachedTokens, description{"agent_cached_tokens_total", kindCounter, "tokens", profile, "Prompt tokens that the target found in its cache."}},
		{&s.Agent.Moves, description{"agent_moves_total", kindCounter, "chats", []string{labelWay, labelResult}, "KV cache moves of chats: way is import or export, result is ok or why it was given up."}},
		{&s.Agent.MovedBytes, description{"agent_moved_bytes_total", kindCounter, "bytes", []string{labelWay}, "Bytes of KV cache moved."}},
		{&s.Agent.Tickets, description{"agent_tickets_total", kindCounter, "tickets", []string{labelResult}, "Tickets by state reached: fresh, running, done, unknown, dropped, or the reason of a refusal."}},
		{&s.Agent.Orders, description{"agent_orders_total", kindCounter, "orders", []string{labelKind, labelResult}, "Orders to the engine by kind and end."}},
		{&s.Relay.Requests, description{"relay_requests_total", kindCounter, "requests", []string{labelKind, labelResult}, "Answers to callers by kind of route: ok, canceled, or the reason of the refusal or of the broken answer."}},
		{&s.Relay.OpenRequests, description{"relay_open", kindGauge, "requests", nil, "Requests of callers in progress at an entry without agents."}},
		{&s.Relay.FirstByte, description{"relay_first_byte_seconds", kindHistogram, "seconds", []string{labelKind}, "From the request's headers to the first event of a stream."}},
		{&s.Relay.Answer, description{"relay_answer_seconds", kindHistogram, "seconds", []string{labelKind}, "From the request's headers to the end of a whole answer."}},
		{&s.Relay.Tries, description{"relay_tries_total", kindCounter, "requests", []string{labelService, labelResult}, "Sends to targets by service: ok, or the reason of the failure."}},
		{&s.Relay.Silent, description{"relay_silent_total", kindCounter, "requests", []string{labelService}, "Requests that the target's host had not acknowledged after a quarter of a second."}},
		{&s.Relay.Hedges, description{"relay_hedges_total", kindCounter, "requests", []string{labelService}, "Requests that were sent to a second target while the first still worked on them."}},
		{&s.Relay.HedgesWon, description{"relay_hedges_won_total", kindCounter, "requests", []string{labelService}, "Of these, the ones that the second target answered first."}},
		{&s.Relay.HedgesDenied, description{"relay_hedges_denied_total", kindCounter, "requests", []string{labelService, "reason"}, "Requests that were later than the hedging delay and were not sent to a second target, by the last reason: left (the caller has left), overload (of this entry's processor), suspect (the content may have ended a target), version (the configuration is not confirmed), deadline, capacity (targets are short of it), target (no other one is in a good state), budget (the ratio set by --hedge is used up), retries (the retry budget is)."}},
		{&s.Relay.Verified, description{"relay_verified_total", kindCounter, "requests", []string{labelService}, "Requests that opened a connection to verify that the target's host is there."}},
		{&s.Relay.RetriesDenied, description{"relay_retries_denied_total", kindCounter, "requests", []string{labelService}, "Repeats that the service's retry budget did not allow."}},
		{&s.Relay.PromptTokens, description{"relay_prompt_tokens_total", kindCounter, "tokens", []string{labelResult}, "Prompt tokens sent: held by the target, fetched from another, or to be read."}},
		{&s.Relay.Peers, description{"relay_peers", kindGauge, "entries", nil, "Other entries of the fleet, as far as this one knows."}},
		{&s.Relay.ProofAge, description{"relay_proof_age_seconds", kindGauge, "seconds", nil, "Age of the proof that the configuration in force is current."}},
		{&s.Relay.Version, description{"relay_version", kindGauge, "version", nil, "Version of the configuration in force; 0 for none."}},
		{&s.Relay.Targets, description{"relay_targets", kindGauge, "targets", nil, "Targets that are known."}},
		{&s.Relay.DatagramBytes, description{"relay_datagram_bytes_total", kindCounter, "bytes", []string{labelWay}, "Bytes of datagrams between entries: in and out."}},
		{&s.Relay.ConnectionsOpened, description{"relay_connections_total", kindCounter, "connections", nil, "Connections to targets that were opened."}},
		{&s.Relay.LogLinesDropped, description{"relay_log_dropped_total", kindCounter, "lines", nil, "Lines of the log that were dropped, as their reader was too slow."}},
		{&s.Relay.Refused, description{"relay_refused_total", kindCounter, "requests", []string{labelWorkspace, labelResult}, "Requests that found no place at a target: full, or share where only those within their share got one; and those that this entry had no processor time (busy) or no memory for (memory)."}},
		{&s.Relay.BodyBytes, description{"relay_body_bytes", kindGauge, "bytes", []string{labelKind}, "Memory that the bodies of requests take: large ones (above 64 KB), which are refused before small ones, and small ones."}},
		{&s.Relay.PlacesTaken, description{"relay_places_taken", kindGauge, "share", []string{labelService}, "Part of the places of a service's targets that was taken when a request last asked for one; 1 and more for all."}},
		{&s.Relay.PlacesKept, description{"relay_places_kept", kindGauge, "share", []string{labelService}, "Part of the places of a service's targets that is kept for requests within their share."}},
		{&s.Relay.Reads, description{"relay_reads_total", kindCounter, "calls", []string{labelTopic, labelFrom}, "Reads of published facts that brought changes, from a peer or the source, and those that failed."}},
		{&s.Relay.ReadBytes, description{"relay_read_bytes_total", kindCounter, "bytes", []string{labelTopic, labelFrom}, "Bytes of these reads."}},
		{&s.Relay.ReadGap, description{"relay_read_gap_seconds", kindHistogram, "seconds", []string{labelTopic, labelFrom}, "Age of the last proof when changes were read: no change that was read is older."}},
		{&s.Relay.TargetsEnded, description{"relay_targets_ended_total", kindCounter, "targets", []string{labelProof}, "Targets that ended without notice while requests ran on them, by what proved it: refused, list or peer."}},
		{&s.Relay.CrashAge, description{"relay_crash_age_seconds", kindHistogram, "seconds", nil, "Age of a crash when a peer's report of it came, less the time on the way."}},
		{&s.Relay.Ends, description{"relay_ends_total", kindCounter, "answers", []string{labelResult}, "Answers with neither a length nor chunks that were read to the end of their connection, by the state of their target's process after it: lives, ended, or unknown if no connection to it was open with the answer. All but lives count as cut."}},
		{&s.Relay.Claims, description{"relay_claims_total", kindCounter, "claims", []string{labelService, labelResult}, "Claims of refused callers, with --returns: granted; none (a caller refused without a claim, which is told a time after its deadline); honoured (a caller that returned as told and got a place); full (it got none)."}},
		{&s.Relay.ClaimLookups, description{"relay_claim_lookups_total", kindCounter, "lookups", []string{labelResult}, "Lookups of claims for requests that would be refused: valid, early, used, or unknown (also if no holder answered)."}},
		{&s.Relay.ClaimsExpired, description{"relay_claims_expired_total", kindCounter, "claims", nil, "Claims held here that nobody used in time. Only the first of their two holders counts them."}},
		{&s.Relay.Resumed, description{"relay_resumed_total", kindCounter, "streams", []string{labelResult}, "Streams that callers took up at this entry, by how the build that began them was found: record, sole (the service has no other), prompt (by the targets that hold what it generated), history (no other one in the history of the source) or not: gone (it has no target left) or unknown."}},
		{&s.Relay.Pauses, description{"relay_pauses_total", kindCounter, "pauses", []string{labelService, labelResult}, "Pauses that targets asked for when they rejected a request: started, extended, or invalid (ignored, as the time is no positive number); and leaving: announcements of targets that they leave."}},
		{&s.Relay.PausedTargets, description{"relay_paused_targets", kindGauge, "targets", nil, "Targets that must not receive requests now, as they asked for a pause."}},
		{&s.Relay.Readings, description{"relay_readings_total", kindCounter, "readings", []string{labelResult}, "Loads that targets reported: own (by an answer to this entry), peer (by a peer, newer than the known one), old (not newer), unknown (of a target that is not listed), invalid. Only reports with the target's speed are counted, and invalid ones."}},
		{&s.Relay.FreshReadings, description{"relay_reading_targets", kindGauge, "targets", nil, "Targets with a reported load that is young enough to be used."}},
		{&s.Relay.SlowTargets, description{"relay_slow_targets", kindGauge, "targets", nil, "Those of them that report that work takes more than 1.25 times as long as usual."}},
		{&s.Relay.CallerConnections, description{"relay_callers", kindGauge, "connections", nil, "Connections of callers that are held."}},
		{&s.Workspaces.Requests, description{"workspace_requests_total", kindCounter, "requests", []string{labelWorkspace, labelResult}, "Requests of a workspace: ok, refused, broken or canceled."}},
		{&s.Workspaces.Tokens, description{"workspace_tokens_total", kindCounter, "tokens", []string{labelWorkspace}, "Estimated work that the target did for a workspace."}},
		{&s.Workspaces.Wait, description{"workspace_wait_seconds", kindHistogram, "seconds", []string{labelWorkspace}, "Time that a workspace's requests waited before they ran."}},
		{&s.Publication.Version, description{"publication_version", kindGauge, "version", nil, "Version of the publication in force; 0 for none."}},
		{&s.Publication.Changes, description{"publications_total", kindCounter, "publications", []string{labelResult}, "Publications seen: accepted, or why not."}},
		{&s.Publication.GossipBytes, description{"gossip_bytes_total", kindCounter, "bytes", []string{labelWay}, "Bytes of control messages with peers: in and out."}},
		{&s.Publication.GossipRounds, description{"gossip_rounds_total", kindCounter, "exchanges", []string{labelResult}, "Exchanges with peers: ok or failed."}},
		{&s.Process.Audit, description{"audit_records_total", kindCounter, "records", []string{labelKind}, "Records of the audit trail by kind."}},
		{&s.Process.Memory, description{"process_memory_bytes", kindGauge, "bytes", []string{labelKind}, "Memory that the process has from the system: objects (garbage included), unused (heap without objects), stacks and other."}},
	}
}

func catalog() []description {
	list := (&Set{}).metrics()
	entries := make([]description, 0, len(list))
	for _, b := range list {
		entries = append(entries, b.desc)
	}
	return entries
}

// NewSet returns a set whose counts are exported once per second. Close must be called
// when the process ends.
func NewSet() (*Set, error) {
	return newSet(reportInterval)
}

func newSet(interval time.Duration) (*Set, error) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, interval)
	s := &Set{handler: reporter.HTTPHandler(), closer: closer}
	ranked := &topWorkspaces{}
	for _, b := range s.metrics() {
		if err := registerHelp(reporter, b.desc); err != nil {
			return nil, errors.Wrapf(err, "metric %s", b.desc.name)
		}
		b.v.bind(scope, b.desc, ranked)
	}
	return s, nil
}

// registerHelp registers the metric's help text for the scraper.
func registerHelp(r prometheus.Reporter, e description) error {
	name := prefix + prometheus.DefaultSeparator + e.name
	var err error
	switch e.kind {
	case kindCounter:
		_, err = r.RegisterCounter(name, e.labels, e.help)
	case kindGauge:
		_, err = r.RegisterGauge(name, e.labels, e.help)
	case kindHistogram:
		_, err = r.RegisterTimer(name, e.labels, e.help, &prometheus.RegisterTimerOptions{
			TimerType:        prometheus.HistogramTimerType,
			HistogramBuckets: seconds(durationBuckets),
		})
	}
	return err
}

func seconds(d tally.DurationBuckets) []float64 {
	list := make([]float64, 0, len(d))
	for _, v := range d {
		list = append(list, v.Seconds())
	}
	return list
}

// Handler returns the handler that serves a scraper.
func (s *Set) Handler() http.Handler { return s.handler }

// Close reports the last counts and stops.
func (s *Set) Close() error { return s.closer.Close() }
