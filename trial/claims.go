package trial

import (
	"slices"
	"time"
)

// ClaimsConfig describes a surge at a plain service in a fleet without agents: for Surge, callers ask for
// several times what the targets carry. Each caller tries at most twice.
type ClaimsConfig struct {
	Seed uint64
	// Claims makes entries grant and honour claims; otherwise refused callers are told
	// admit.RetryAfter.
	Claims  bool
	Entries int
	Targets int
	Slots   int
	// Queue is the number of requests that wait at a target before it refuses more.
	Queue int
	Work  time.Duration
	// Usual is the load before and after the surge, Offered that during the surge, as multiples of
	// what the targets carry.
	Usual, Offered float64
	// Clump is the mean length of the alternating periods of the surge with more and with less than
	// the offered load, Swing the part of it by which they differ from it; 0 for an even load.
	Clump time.Duration
	Swing float64
	// HotFactor is the load of workspace w0 during the surge as a multiple of its usual load, with
	// that of the others unchanged; 0 for a surge of all workspaces.
	HotFactor float64
	// Objective and Deadline are those of each caller.
	Objective, Deadline time.Duration
	// Impatient is the ratio of callers that return after 5 to 50 ms, whatever they are told. The
	// others wait as told, up to a third of their remaining time.
	Impatient float64
	// GivesUp makes callers that are told a time after their deadline not return at all.
	GivesUp bool
	// ReportInterval is the interval at which entries exchange reports, OneWay the time that a
	// datagram takes.
	ReportInterval, OneWay time.Duration
	// Loss is the ratio of datagrams about claims that are lost.
	Loss float64
	// Gone is the number of entries that are killed in the middle of the surge. They take no more
	// requests, and the others still list them.
	Gone int
	// Warmup is the time before the surge.
	Warmup, Surge time.Duration
}

// ClaimsResult holds the measurements of RunClaims, of requests that arrived during the surge.
type ClaimsResult struct {
	// Requests, Attempts and Served count requests, their attempts, and those answered before their
	// deadline.
	Requests, Attempts, Served int
	// Goodput is the number of requests in time per second.
	Goodput float64
	// Told is the number of callers told a time before their deadline at their first attempt, and
	// ToldServed the ratio of them that were served.
	Told       int
	ToldServed float64
	// Claims is the number of claims granted, and Honoured the ratio of them that admitted their
	// request.
	Claims   int
	Honoured float64
	// AttemptsPerServed is the number of attempts per served request.
	AttemptsPerServed float64
	// SmallInTime is the ratio of requests in time of all workspaces except w0, HotInTime that of
	// w0.
	SmallInTime, HotInTime float64
	// HotClaims is the ratio of the claims that w0 got.
	HotClaims float64
	// Busy is the ratio of the time of all slots that was used during the surge.
	Busy float64
	// BytesPerEntry is the number of bytes per second of datagrams about claims that an entry sent.
	BytesPerEntry float64
	// Late is the number of requests that were served after their objective.
	Late int
	// ClaimServed is the ratio of callers with a claim that were served.
	ClaimServed float64
	// Latency99 is the 99th percentile of the time to the answer of served requests.
	Latency99 time.Duration
}

// AnnexSurge returns the play of the users' aims: 21 entries, 4 targets, 3.5 times what they carry.
func AnnexSurge(seed uint64, claims bool) ClaimsConfig {
	return ClaimsConfig{
		Seed: seed, Claims: claims, Entries: 21, Targets: 4, Slots: 6, Queue: 24, Work: 60 * time.Millisecond,
		Usual: 0.4, Offered: 3.5, Objective: 300 * time.Millisecond, Deadline: 1500 * time.Millisecond, Impatient: 0.1,
		ReportInterval: 500 * time.Millisecond, OneWay: 900 * time.Microsecond, Warmup: 5 * time.Second, Surge: 10 * time.Second,
	}
}

// AnnexHot returns the play in which one workspace sends 12 times its usual load, and the targets carry the
// usual load of all.
func AnnexHot(seed uint64, claims bool) ClaimsConfig {
	cfg := AnnexSurge(seed, claims)
	cfg.Usual, cfg.HotFactor = 1, 12
	return cfg
}

// AnnexClumps returns a surge of offered times what the targets carry, in clumps of a few hundred milliseconds.
func AnnexClumps(seed uint64, claims bool, offered float64) ClaimsConfig {
	cfg := AnnexSurge(seed, claims)
	cfg.Offered, cfg.Clump, cfg.Swing = offered, 300*time.Millisecond, 0.8
	return cfg
}

// RunClaims simulates cfg and returns its measurements.
func RunClaims(cfg ClaimsConfig) ClaimsResult {
	s := newClaimsRun(cfg)
	s.every(cfg.ReportInterval, s.exchangeReports)
	s.after(0, s.arrive)
	if cfg.Clump > 0 {
		s.after(cfg.Warmup, s.turn)
	}
	if cfg.Gone > 0 {
		s.after(cfg.Warmup+cfg.Surge/2, func() { s.gone = cfg.Gone })
	}
	s.runUntil(cfg.Warmup + cfg.Surge + 2*cfg.Deadline)
	return s.result()
}

func (s *claimsRun) result() ClaimsResult {
	r := ClaimsResult{Busy: s.busy.Seconds() / (s.cfg.Surge.Seconds() * float64(s.cfg.Targets*s.cfg.Slots))}
	var small, hot, claims, claimed, told [2]int
	inTime, hotClaims := 0, 0
	var latencies []time.Duration
	for _, c := range s.callers {
		r.Requests++
		r.Attempts += c.attempts
		isInTime := c.served && c.latency <= s.cfg.Objective
		inTime += toInt(isInTime)
		if c.served {
			latencies = append(latencies, c.latency)
		}
		if c.workspace == 0 {
			add(&hot, isInTime)
		} else {
			add(&small, isInTime)
		}
		if c.claimed {
			add(&claims, c.honoured)
			add(&claimed, c.served)
			hotClaims += toInt(c.workspace == 0)
		}
		if c.told {
			add(&told, c.served)
		}
	}
	r.Served, r.Late = len(latencies), len(latencies)-inTime
	r.Goodput = float64(inTime) / s.cfg.Surge.Seconds()
	r.Told, r.ToldServed = told[0], ratio(told[1], told[0])
	r.Claims, r.Honoured, r.HotClaims = claims[0], ratio(claims[1], claims[0]), ratio(hotClaims, claims[0])
	r.ClaimServed = ratio(claimed[1], claimed[0])
	r.AttemptsPerServed = ratio(r.Attempts, r.Served)
	r.SmallInTime, r.HotInTime = ratio(small[1], small[0]), ratio(hot[1], hot[0])
	r.BytesPerEntry = float64(s.bytes) / s.cfg.Surge.Seconds() / float64(s.cfg.Entries)
	slices.Sort(latencies)
	if len(latencies) > 0 {
		r.Latency99 = quantile(latencies, 0.99)
	}
	return r
}

// add counts one more, and whether it succeeded.
func add(counts *[2]int, ok bool) {
	counts[0]++
	counts[1] += toInt(ok)
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
