package store

import (
	"net/http"
)

// Era returns the number of times that the store was restored from a copy, as the latest
// answer that tells it says, or 0.
func (c *Client) Era() uint64 { return c.era.Load() }

// noteEra notes the era that an answer names.
func (c *Client) noteEra(h http.Header) {
	if era, named, err := c.wire.Era(h); err == nil && named {
		c.era.Store(era)
	}
}
