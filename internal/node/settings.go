package node

import (
	"context"
	"net"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"clementinelink.example/clementinelink/internal/cursor"
)

// Settings holds the flags and environment variables of an entry VM. Its fields
// are exported for the flag library.
type Settings struct {
	Name         string        `long:"name" env:"CLEMENTINE_NAME" required:"true" description:"unique name of this VM in the platform's list"`
	Region       string        `long:"region" env:"CLEMENTINE_REGION" required:"true" description:"region that this VM is in"`
	Domain       string        `long:"domain" env:"CLEMENTINE_DOMAIN" required:"true" description:"failure domain that this VM is in"`
	Listen       string        `long:"listen" env:"CLEMENTINE_LISTEN" default:"127.0.0.1:8080" description:"address for callers, as IP:port"`
	Admin        string        `long:"admin" env:"CLEMENTINE_ADMIN" default:"127.0.0.1:8081" description:"address for operators and metrics, as IP:port"`
	Peer         string        `long:"peer" env:"CLEMENTINE_PEER" default:"127.0.0.1:8082" description:"address for other entry VMs, as IP:port; the list names this one"`
	Store        string        `long:"store" env:"CLEMENTINE_STORE" required:"true" description:"URL of the platform's key-value service"`
	VMs          string        `long:"vms" env:"CLEMENTINE_VMS" required:"true" description:"URL of the platform's VM list"`
	Keys         string        `long:"keys" env:"CLEMENTINE_KEYS" required:"true" description:"comma-separated hex keys for cursors, the same on all VMs; the first signs, all are accepted"`
	Drain        time.Duration `long:"drain" env:"CLEMENTINE_DRAIN" default:"5s" description:"time for the load balancer to notice a shutdown"`
	Seed         uint64        `long:"seed" env:"CLEMENTINE_SEED" description:"seed of random choices; 0 draws one"`
	PullInterval time.Duration `long:"pulls" env:"CLEMENTINE_PULLS" default:"1s" description:"shortest time between two load orders of one move, as the weight store's rate allows"`
	Level        string        `long:"level" env:"CLEMENTINE_LEVEL" default:"info" description:"least severe log level: debug, info, warn or error"`
	Format       string        `long:"format" env:"CLEMENTINE_FORMAT" default:"json" description:"log format: json or text"`
	// listen and dial replace the network of the machine if they are not nil.
	listen func(address string) (net.Listener, error)
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// WithNetwork replaces the network of the machine. Call it before New.
func (s *Settings) WithNetwork(listen func(address string) (net.Listener, error), dial func(ctx context.Context, network, address string) (net.Conn, error)) *Settings {
	s.listen, s.dial = listen, dial
	return s
}

// Check returns an error that names the first invalid setting, or nil.
func (s *Settings) Check() error {
	listeners := []struct {
		flag string
		addr string
	}{
		{
			flag: "--listen",
			addr: s.Listen,
		},
		{
			flag: "--admin",
			addr: s.Admin,
		},
		{
			flag: "--peer",
			addr: s.Peer,
		},
	}
	used := make(map[string]string)
	for _, l := range listeners {
		host, port, err := net.SplitHostPort(l.addr)
		if err != nil || net.ParseIP(host) == nil {
			return errors.Newf("%s: %q is not IP:port", l.flag, l.addr)
		}
		if other, ok := used[l.addr]; ok && port != "0" {
			return errors.Newf("%s: %q is already used by %s", l.flag, l.addr, other)
		}
		used[l.addr] = l.flag
	}
	if err := checkURL("--store", s.Store); err != nil {
		return err
	}
	if err := checkURL("--vms", s.VMs); err != nil {
		return err
	}
	if s.Drain < 0 {
		return errors.Newf("--drain: %s is negative", s.Drain)
	}
	if _, err := zerolog.ParseLevel(s.Level); err != nil {
		return errors.Newf("--level: %q is not a level", s.Level)
	}
	if s.Format != "json" && s.Format != "text" {
		return errors.Newf("--format: %q is neither json nor text", s.Format)
	}
	if _, err := cursor.Parse(s.Keys); err != nil {
		return errors.Wrap(err, "--keys")
	}
	return nil
}

func checkURL(flag, raw string) error {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.Newf("%s: %q is not an http URL", flag, raw)
	}
	return nil
}
