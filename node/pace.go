package node

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/watch"
)

func (n *Direct) watch(topic chestnutstep.Topic) task {
	w := &watch.Watcher{Source: n.Source, Topic: topic, Roster: n.roster, Notify: n, Wait: watch.Long, Rest: n.gather}
	if topic == chestnutstep.TopicRouting {
		w.Kick, w.Wait = n.kick, n.pace
	}
	return w.Run
}

// pace is how long the next watch of the configuration waits.
func (n *Direct) pace() time.Duration {
	d := watch.Pace(n.board.Rank(), n.proofAge(), n.bounds().Revoke)
	n.waitsLong.Store(d >= watch.Long())
	return d
}

// gather is how long watches rest after changes.
func (n *Direct) gather() time.Duration {
	return watch.Gather(n.board.Entries(), n.bounds().Within)
}

// proofAge is the age of the proof that the configuration is current.
func (n *Direct) proofAge() time.Duration { return clock.Now().Sub(n.roster.Proof()) }

// kickWatch ends the present watch of the configuration.
func (n *Direct) kickWatch(k watch.Kick) {
	select {
	case n.kick <- k:
	default: // one is on its way
	}
}
