package trial

import (
	"testing"

	"gotest.tools/v3/assert"
)

// claimSeeds is the number of seeds of each play.
const claimSeeds = 4

// sumOfPlays runs a play with several seeds and returns the sums of the counts and the means of the ratios.
func sumOfPlays(play func(seed uint64, claims bool) ClaimsConfig, claims bool, change func(*ClaimsConfig)) ClaimsResult {
	var sum ClaimsResult
	for seed := range uint64(claimSeeds) {
		cfg := play(seed+1, claims)
		change(&cfg)
		r := RunClaims(cfg)
		sum.Requests += r.Requests
		sum.Attempts += r.Attempts
		sum.Served += r.Served
		sum.Late += r.Late
		sum.Told += r.Told
		sum.Claims += r.Claims
		sum.ClaimServed += r.ClaimServed / claimSeeds
		sum.Latency99 += r.Latency99 / claimSeeds
		sum.Goodput += r.Goodput / claimSeeds
		sum.ToldServed += r.ToldServed / claimSeeds
		sum.SmallInTime += r.SmallInTime / claimSeeds
		sum.HotInTime += r.HotInTime / claimSeeds
		sum.HotClaims += r.HotClaims / claimSeeds
		sum.Busy += r.Busy / claimSeeds
		sum.BytesPerEntry += r.BytesPerEntry / claimSeeds
	}
	sum.AttemptsPerServed = ratio(sum.Attempts, sum.Served)
	return sum
}

func asItIs(*ClaimsConfig) {}

// TestCallersToldToReturnAreServed guards against a time to return that is no promise: with the usual rule,
// nearly all callers that return as told are refused again.
func TestCallersToldToReturnAreServed(t *testing.T) {
	got, before := sumOfPlays(AnnexSurge, true, asItIs), sumOfPlays(AnnexSurge, false, asItIs)
	t.Logf("with claims %+v\nwithout %+v", got, before)
	assert.Assert(t, got.ToldServed >= 0.8, "%.2f of the callers told to return were served", got.ToldServed)
	assert.Assert(t, before.ToldServed < 0.2, "%.2f without claims: the load is too low for this test", before.ToldServed)
}

// checkGoodput compares the goodput with claims to that without them.
func checkGoodput(t *testing.T, play func(uint64, bool) ClaimsConfig) {
	t.Helper()
	got, before := sumOfPlays(play, true, asItIs), sumOfPlays(play, false, asItIs)
	t.Logf("with claims %+v\nwithout %+v", got, before)
	assert.Assert(t, got.Goodput >= before.Goodput, "%.1f in time per second, %.1f without claims", got.Goodput, before.Goodput)
}

// TestClaimsKeepGoodput guards against places that stay unused for callers that are yet to return, and against
// late returns that are served in place of requests in time.
func TestClaimsKeepGoodput(t *testing.T) { checkGoodput(t, AnnexSurge) }

// TestClaimsKeepGoodputBesideHotWorkspace guards against the same while one workspace sends 12 times its load.
func TestClaimsKeepGoodputBesideHotWorkspace(t *testing.T) { checkGoodput(t, AnnexHot) }

// checkAttempts compares the attempts per served request with claims to those without them.
func checkAttempts(t *testing.T, change func(*ClaimsConfig)) {
	t.Helper()
	got, before := sumOfPlays(AnnexSurge, true, change), sumOfPlays(AnnexSurge, false, change)
	assert.Assert(t, got.AttemptsPerServed <= before.AttemptsPerServed/2, "%.2f attempts per served request, %.2f without claims", got.AttemptsPerServed, before.AttemptsPerServed)
}

// TestClaimsHalveAttempts guards against callers that try again in vain. They wait as told up to a third of their
// remaining time, and then return whatever they were told. The bound is the users' aim.
func TestClaimsHalveAttempts(t *testing.T) { checkAttempts(t, asItIs) }

// TestClaimsHalveAttemptsOfPatientCallers guards against the same for callers that don't return if they are told a
// time after their deadline. The bound is the users' aim.
func TestClaimsHalveAttemptsOfPatientCallers(t *testing.T) {
	checkAttempts(t, func(c *ClaimsConfig) { c.GivesUp = true })
}

// TestHotWorkspaceGainsNothingFromClaims guards against workspaces with their usual load that are refused because
// one sends 12 times its load, and against claims that this one collects.
func TestHotWorkspaceGainsNothingFromClaims(t *testing.T) {
	got, before := sumOfPlays(AnnexHot, true, asItIs), sumOfPlays(AnnexHot, false, asItIs)
	t.Logf("with claims %+v\nwithout %+v", got, before)
	assert.Check(t, got.HotInTime <= before.HotInTime, "hot in time %.3f, %.3f without claims", got.HotInTime, before.HotInTime)
	assert.Check(t, got.SmallInTime > before.SmallInTime+0.1, "others in time %.3f, %.3f without claims", got.SmallInTime, before.SmallInTime)
}

// TestWorkspacesWithinShareAreInTime guards against workspaces with their usual load that are refused because one
// sends 12 times its load. The bound is the users' aim.
func TestWorkspacesWithinShareAreInTime(t *testing.T) {
	got := sumOfPlays(AnnexHot, true, asItIs)
	assert.Assert(t, got.SmallInTime >= 0.95, "%.3f in time", got.SmallInTime)
}

// TestClaimsSurviveLossAndEntries guards against returns that are refused because datagrams are lost or a fifth of
// the entries, with the claims that they granted and held, are killed during the surge.
func TestClaimsSurviveLossAndEntries(t *testing.T) {
	for name, change := range map[string]func(*ClaimsConfig){
		"loss": func(c *ClaimsConfig) { c.Loss = 0.05 },
		"gone": func(c *ClaimsConfig) { c.Gone = 4 },
	} {
		got := sumOfPlays(AnnexSurge, true, change)
		t.Logf("%s: %+v", name, got)
		assert.Check(t, got.ToldServed >= 0.8, "%s: %.2f of the callers told to return were served", name, got.ToldServed)
	}
}

// TestClaimsChangeNothingBelowSaturation guards against claims, or refusals for the sake of claims, while places are
// free. Without any shortage the two plays are equal in each figure.
func TestClaimsChangeNothingBelowSaturation(t *testing.T) {
	idle := func(c *ClaimsConfig) { c.Offered = 0.3 }
	got, before := sumOfPlays(AnnexSurge, true, idle), sumOfPlays(AnnexSurge, false, idle)
	t.Logf("with claims %+v\nwithout %+v", got, before)
	assert.Assert(t, got.Goodput >= before.Goodput, "%.1f in time per second, %.1f without claims", got.Goodput, before.Goodput)
	assert.Assert(t, float64(got.Claims) <= 0.01*float64(got.Requests), "%d claims", got.Claims)
}

// checkClumps compares plays whose requests come in clumps. Only callers with a claim are promised a place.
func checkClumps(t *testing.T, loads ...float64) {
	t.Helper()
	for _, offered := range loads {
		play := func(seed uint64, claims bool) ClaimsConfig { return AnnexClumps(seed, claims, offered) }
		got, before := sumOfPlays(play, true, asItIs), sumOfPlays(play, false, asItIs)
		for name, r := range map[string]ClaimsResult{"with": got, "without": before} {
			t.Logf("load %.1f, %s claims: in time %.1f/s, late %d and served %d of %d, p99 %v, told %d, of these served %.2f, claims %d, of these served %.2f",
				offered, name, r.Goodput, r.Late, r.Served, r.Requests, r.Latency99, r.Told, r.ToldServed, r.Claims, r.ClaimServed)
		}
		assert.Check(t, got.Goodput >= 0.99*before.Goodput, "load %.1f: %.1f in time per second, %.1f without claims", offered, got.Goodput, before.Goodput)
		assert.Check(t, got.Claims == 0 || got.ClaimServed >= 0.8, "load %.1f: %.2f of the callers with a claim were served", offered, got.ClaimServed)
	}
}

// TestClaimsKeepGoodputInMildClumps guards against callers that are told to return so late that they are served in
// place of requests in time, although the shortage is mild and lasts for moments.
func TestClaimsKeepGoodputInMildClumps(t *testing.T) { checkClumps(t, 1.1, 1.3, 1.6) }

// TestClaimsKeepGoodputInClumps guards against the same in a shortage that is not mild.
func TestClaimsKeepGoodputInClumps(t *testing.T) { checkClumps(t, 2, 3.5) }
