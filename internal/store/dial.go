package store

import (
	"context"
	"net"
	"time"
)

// dialFunc connects to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// repeated returns a function that begins a further connection after each delay, and returns
// the one that is there first. The error is that of the last one to fail.
func repeated(dial dialFunc, delay time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		type result struct {
			conn net.Conn
			err  error
		}
		results := make(chan result)
		begin := func() {
			conn, err := dial(ctx, network, address)
			select {
			case results <- result{
				conn: conn,
				err:  err,
			}:
			case <-ctx.Done():
				if conn != nil {
					_ = conn.Close()
				}
			}
		}
		go begin()
		begun, end := 1, time.Now().Add(connectTimeout)
		ticker := time.NewTicker(delay)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				if now.Before(end) {
					begun++
					go begin()
				}
			case r := <-results:
				if begun--; r.err == nil || begun == 0 || !time.Now().Before(end) {
					return r.conn, r.err
				}
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}
