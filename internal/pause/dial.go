package pause

import (
	"context"
	"net"
	"time"
)

// Dial is a function that opens a connection, such as the method of net.Dialer.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Within returns a function that dials with a timeout. It tries once more if the timeout
// was due while this process had paused, since the connection may have been there in time.
func (d Dial) Within(timeout time.Duration, now func() time.Time) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		for again := false; ; again = true {
			due := now().Add(timeout)
			limited, cancel := context.WithTimeout(ctx, timeout)
			conn, err := d(limited, network, address)
			timedOut := limited.Err() != nil
			cancel()
			if err == nil {
				return conn, nil
			}
			if _, paused := Late(now(), due); again || !paused || !timedOut || ctx.Err() != nil {
				return nil, err
			}
		}
	}
}
