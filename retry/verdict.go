package retry

import "chestnutstep.example/chestnutstep"

// Action is what an entry does after a refusal or a broken answer.
type Action uint8

// The possible actions.
const (
	// End returns the answer to the caller immediately.
	End Action = iota
	// NextTarget offers the request to the next target of the ranking. It is paid from the step
	// budget.
	NextTarget
	// Reattach attaches to the same run again at the same agent, by id and offset. It starts no new
	// run and needs no budget.
	Reattach
	// Repeat offers the request again. It is paid from the retry budget.
	Repeat
)

// Decide returns the action of an entry after a refusal or a broken answer.
//
// A request that is not idempotent never leaves its agent: its ticket binds it to that agent, and
// no reason allows a second run. An idempotent request moves to the next target if that one may
// accept it, and is repeated if a target failed during the run. Reasons that apply to all targets
// end the request immediately; otherwise every invalid request would cost as many offers as there
// are attempts.
func Decide(reason chestnutstep.Reason, run chestnutstep.RunStatus, idempotent bool) Action {
	if reason == chestnutstep.ReasonLink && run != chestnutstep.RunNo {
		return Reattach
	}
	if !idempotent {
		return End
	}
	switch ReplyFor(reason).scope {
	case scopeTarget:
		if run == chestnutstep.RunNo {
			return NextTarget
		}
		return Repeat
	case scopeFailed:
		return Repeat
	}
	return End
}
