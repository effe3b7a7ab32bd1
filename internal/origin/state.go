package origin

// State is the state of an ordered move as reported to operators.
type State uint8

// The states of a move.
const (
	// Active means that the move is in progress.
	Active State = iota
	// Completed means that the upstreams of the old version may be stopped.
	Completed
	// Reverted means that all traffic is back at the old version.
	Reverted
)
