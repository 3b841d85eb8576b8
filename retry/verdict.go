package retry

import "chestnutstep.example/chestnutstep"

// Action is what an entry does after a refusal or a broken answer.
type Action uint8

// The verdicts.
const (
	// End gives the caller the answer at once.
	End Action = iota
	// NextTarget offers the request to the next target of the ranking, out of the
	// budget of Steps.
	NextTarget
	// Reattach joins the request again at the same agent, by id and offset. It
	// runs nothing anew and needs no budget.
	Reattach
	// Repeat offers the request anew, out of the budget of repeats.
	Repeat
)

// Decide says how an entry may go on after a refusal or a break.
//
// A request that is not idempotent never leaves its agent: its ticket binds it
// there, and no reason allows another run. An idempotent one moves on where the
// next target may well say otherwise, and is repeated where a target failed it.
// Reasons that the next target would give too end at once: moving on would make
// every bad request cost as many offers as there are tries.
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
