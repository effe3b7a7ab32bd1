package origin

import "time"

// Order is an operator's order to move a service to another version. It is comparable
// and immutable.
type Order struct {
	service  string
	target   string
	duration time.Duration
}

// NewOrder returns an order to move service to the version target within the duration.
func NewOrder(service, target string, duration time.Duration) *Order {
	return &Order{
		service:  service,
		target:   target,
		duration: duration,
	}
}

// Service returns the service's name.
func (o *Order) Service() string { return o.service }

// Target returns the version to which the service moves.
func (o *Order) Target() string { return o.target }

// Duration returns the time within which the move must end.
func (o *Order) Duration() time.Duration { return o.duration }
