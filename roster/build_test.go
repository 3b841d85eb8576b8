package roster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
)

// TestSoleBuild guards against a service that counts as having a single build although streams in
// progress can have begun at another one.
func TestSoleBuild(t *testing.T) {
	const window = 20 * time.Second
	wall := time.Unix(1e9, 0)
	now := clock.Stamp(time.Hour)
	r := &roster.Roster{WallClock: func() time.Time { return wall }}
	revision := uint64(0)
	list := func(builds ...string) {
		revision++
		b := chestnutstep.Batch{Revision: revision}
		for i, build := range builds {
			if build == "-" {
				continue
			}
			id := string(rune('a' + i))
			b.Facts = append(b.Facts, chestnutstep.Fact{Kind: chestnutstep.FactInstance, Name: id, Revision: revision, Instance: &chestnutstep.Instance{
				ID: id, Service: "s", Address: "a:1", Build: build, StartedMs: wall.Add(-time.Hour).UnixMilli(),
			}})
		}
		r.Apply(now, chestnutstep.TopicTargets, b, true)
	}
	sole := func() string {
		build, _ := r.View().SoleBuild(now, "s", window)
		return build
	}
	r.Apply(now, chestnutstep.TopicRouting, chestnutstep.Batch{Facts: []chestnutstep.Fact{{
		Kind: chestnutstep.FactRouting, Revision: 1, Routing: &chestnutstep.Routing{Version: 1},
	}}}, true)
	list("1", "1")
	assert.Equal(t, sole(), "1", "all targets started long ago")
	list("1", "1", "2")
	assert.Equal(t, sole(), "", "two builds")
	now = now.Add(time.Minute)
	list("-", "-", "2")
	assert.Equal(t, sole(), "", "streams of build 1 are still in progress")
	now = now.Add(window)
	assert.Equal(t, sole(), "")
	now = now.Add(time.Second)
	assert.Equal(t, sole(), "2")
	list("-", "-", "3")
	assert.Equal(t, sole(), "", "the target has another build now")
	now = now.Add(window + time.Second)
	assert.Equal(t, sole(), "3")
	list("-", "-", "3", "")
	assert.Equal(t, sole(), "", "a target of unknown build")
}
