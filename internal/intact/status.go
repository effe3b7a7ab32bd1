package intact

import "github.com/cockroachdb/errors"

// ErrStatus means that a response has a status outside 100 to 599.
var ErrStatus = errors.New("intact: invalid status")

// CheckStatus returns ErrStatus for a status outside 100 to 599, which net/http accepts
// from a peer and can't write to a caller.
func CheckStatus(status int) error {
	if status < 100 || status > 599 {
		return errors.Wrapf(ErrStatus, "%03d", status)
	}
	return nil
}
