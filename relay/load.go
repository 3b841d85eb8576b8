package relay

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/roster"
)

// recordLoad records the load that a target reported in the head of an answer. An answer without the id
// of the request can come from another process.
func (e *Relay) recordLoad(t *roster.Target, id string, h chestnutstep.TargetHeaders) {
	if id == "" || h.ID != id {
		return
	}
	key := board.CacheKey(&t.Instance)
	if !h.HasInvalidLoad {
		e.Readings.Record(clock.Now(), key, h.Load)
		return
	}
	if e.Readings.RecordInvalid(clock.Now(), key) {
		e.Log.Emit(event.TargetLoadInvalid, event.Str("target", t.ID), event.Str("service", t.Service), event.Str("request", id))
	}
}
