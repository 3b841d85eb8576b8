package retry

import "chestnutstep.example/chestnutstep"

// Verdict is what an entry does after a refusal or a broken answer.
type Verdict uint8

// The verdicts.
const (
	// End gives the caller the answer at once.
	End Verdict = iota
	// Move offers the request to the next target of the ranking, out of the
	// budget of Steps.
	Move
	// Attach joins the request again at the same agent, by id and offset. It
	// runs nothing anew and needs no budget.
	Attach
	// Repeat offers the request anew, out of the budget of repeats.
	Repeat
)

// May says how an entry may go on after a refusal or a break.
//
// A request that is not idempotent never leaves its agent: its ticket binds it
// there, and no reason allows another run. An idempotent one moves on where the
// next target may well say otherwise, and is repeated where a target failed it.
// Reasons that the next target would give too end at once: moving on would make
// every bad request cost as many offers as there are tries.
func May(reason chestnutstep.Reason, run chestnutstep.RunStatus, idempotent bool) Verdict {
	if reason == chestnutstep.ReasonLink && run != chestnutstep.RunNo {
		return Attach
	}
	if !idempotent {
		return End
	}
	switch Answer(reason).scope {
	case here:
		if run == chestnutstep.RunNo {
			return Move
		}
		return Repeat
	case broken:
		return Repeat
	}
	return End
}
