package intact

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Dial is a function that opens a connection, such as the method of net.Dialer.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// wrap returns a function that dials connections of type *Conn.
func (d Dial) wrap() Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Transport is an http.Transport for http URLs whose responses fail with ErrIncomplete
// and ErrStatus. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport over base, whose DialContext it replaces. The caller
// must not use base any more.
func NewTransport(base *http.Transport) *Transport {
	t := &Transport{
		base: base,
	}
	if base.DialContext == nil {
		return t.WithDial(new(net.Dialer).DialContext)
	}
	return t.WithDial(base.DialContext)
}

// WithDial replaces the function that connects to servers. Call it before any other
// method.
func (t *Transport) WithDial(dial Dial) *Transport {
	t.base.DialContext = dial.wrap()
	return t
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	length := bodyLength(req)
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				c.Begin(length)
			}
		},
	})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// bodyLength returns the length of a request's body in bytes, or -1 if it is unknown.
func bodyLength(req *http.Request) int64 {
	switch {
	case req.Body == nil || req.Body == http.NoBody:
		return 0
	case req.ContentLength > 0:
		return req.ContentLength
	default:
		return -1
	}
}
