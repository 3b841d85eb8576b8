package ending

// WitnessState is what a witness shows after the end of the answer.
type WitnessState uint8

// States of a witness.
const (
	// NoWitness means that there is no connection which the process that answered is known to have accepted.
	NoWitness WitnessState = iota
	// WitnessOpen means that the connection is open, and a check that was sent after the end has no answer yet.
	WitnessOpen
	// WitnessAnswered means that the target has answered a check that was sent after the end.
	WitnessAnswered
	// WitnessEnded means that the target has ended the connection together with that of the answer.
	WitnessEnded
)

// FreshState is what a connection shows that is opened after the end of the answer.
type FreshState uint8

// States of a fresh connection.
const (
	// FreshUntried means that none has been opened yet.
	FreshUntried FreshState = iota
	// FreshOpen means that the target has accepted it and not answered yet.
	FreshOpen
	// FreshAnswered means that the target has answered a check on it.
	FreshAnswered
	// FreshDropped means that the target has accepted it and closed it without an answer.
	FreshDropped
	// FreshRefused means that nothing listens at the address.
	FreshRefused
	// FreshUnreached means that it could not be opened for another reason.
	FreshUnreached
)

// Evidence is what two connections to the target show after the end of an answer.
type Evidence struct {
	Witness WitnessState
	Fresh   FreshState
	// IsPrompt reports whether the fresh connection was opened so soon after the connection of the answer was seen
	// open that no other process can have taken over the address.
	IsPrompt bool
	// IsAcknowledged reports whether the target's host has acknowledged the check on the witness.
	IsAcknowledged bool
	// WasRefused and WasDropped report whether second connections were refused, or closed without an answer, while
	// the answer went on.
	WasRefused, WasDropped bool
}

// Process returns the state of the process that answered. final is false if the evidence can still change.
func (e Evidence) Process() (p Process, final bool) {
	switch {
	case e.Witness == WitnessEnded:
		return Ended, true
	case e.Witness == WitnessAnswered:
		return Lives, true
	case e.Fresh == FreshRefused && !e.WasRefused:
		return Ended, e.Witness != WitnessOpen // a target that is leaving can have closed its listener just now
	case e.Fresh == FreshAnswered && e.IsPrompt:
		return Lives, true
	case e.Witness == WitnessOpen:
		return e.processOfOpenWitness(), false
	case e.Fresh == FreshOpen && e.IsPrompt, e.Fresh == FreshDropped && e.IsPrompt && e.WasDropped:
		return Lives, false
	default:
		return Unknown, false
	}
}

// processOfOpenWitness decides for a witness that has not answered: the target is full, or the connection has gone
// silent.
func (e Evidence) processOfOpenWitness() Process {
	switch e.Fresh {
	case FreshUntried, FreshOpen:
		return Lives
	case FreshAnswered:
		return Unknown // the target answers later requests on other connections
	case FreshDropped:
		return livesIf(e.WasDropped)
	default:
		return livesIf(e.IsAcknowledged)
	}
}

func livesIf(proven bool) Process {
	if proven {
		return Lives
	}
	return Unknown
}
