package edge

import "time"

// MoveOrder is an operator's order to move a service to another version.
type MoveOrder struct {
	service  string
	target   string
	duration time.Duration
}

// NewMoveOrder returns an order to move service to the version target within the
// duration.
func NewMoveOrder(service, target string, duration time.Duration) *MoveOrder {
	return &MoveOrder{
		service:  service,
		target:   target,
		duration: duration,
	}
}

// MoveState is the state of a move as reported to operators.
type MoveState uint8

// The states of a move.
const (
	// Active means that the move is in progress.
	Active MoveState = iota
	// Completed means that the upstreams of the old version may be stopped.
	Completed
	// Reverted means that all traffic is back at the old version.
	Reverted
)
