package stand

import "clementinelink.example/clementinelink/internal/quota"

// Fleet returns the VMs that share the limits of upstreams.
func (b *Book) Fleet() *quota.Fleet { return b.fleet }

// CopyTo makes the zero Standing c a copy of s that changes apart from it and whose limit
// belongs to the book b. Its gate is that of an upstream that states nothing, since no message
// is sent under it.
func (s *Standing) CopyTo(c *Standing, b *Book) {
	c.id, c.startedAt, c.heard, c.leaving = s.id, s.startedAt, s.heard, s.leaving
	c.restSince, c.restUntil, c.messages, c.changed = s.restSince, s.restUntil, s.messages, s.changed
	if s.limit != nil {
		l := *s.limit
		l.book = b
		c.limit = &l
	}
}
