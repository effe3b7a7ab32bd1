package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"clementinelink.example/clementinelink/internal/order"
	"clementinelink.example/clementinelink/internal/world"
)

// Order sends an order to an engine and returns its reply. If the error is not
// nil, the reply is Unanswered, and the engine may or may not have accepted the
// order. An order may be sent again, because an engine executes each order ID
// only once.
func (c *Client) Order(ctx context.Context, vm *world.VM, a order.Action) (order.Reply, error) {
	body, err := json.Marshal(orderBody{
		ID:      a.ID(),
		Fence:   a.Fence(),
		Op:      string(a.Op()),
		Version: a.Version(),
	})
	if err != nil {
		return order.Unanswered, errors.Wrap(err, "engine: order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.Address()+"/orders", bytes.NewReader(body))
	if err != nil {
		return order.Unanswered, errors.Wrap(err, "engine: order")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.single.Do(req)
	if err != nil {
		return order.Unanswered, errors.Wrap(err, "engine: order")
	}
	raw, err := readAll(resp)
	if err != nil {
		return order.Unanswered, errors.Wrap(err, "engine: order")
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		return order.Accepted, nil
	}
	if resp.StatusCode != http.StatusConflict {
		return order.Refused, nil
	}
	var b conflictBody
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&b); err == nil && b.Fence > a.Fence() {
		return order.Fenced, nil
	}
	return order.Refused, nil
}
