package blame

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Charge is a set of prompt parts that crash the engines of a service. Parts that
// always came together can't be told apart, so a prompt matches only if it has all
// of them. It is immutable.
type Charge struct {
	service string
	// parts is sorted and not empty.
	parts []string
	// struck is the version of the engines that were lost. The charge is restricted
	// to it if another version survived the parts.
	struck     string
	restricted bool
}

// NewCharge returns a charge of a service. struck is the version of the engines
// that were lost; restricted is true if another version survives the parts.
func NewCharge(service string, parts []string, struck string, restricted bool) Charge {
	sorted := slices.Clone(parts)
	slices.Sort(sorted)
	return Charge{
		service:    service,
		parts:      slices.Compact(sorted),
		struck:     struck,
		restricted: restricted,
	}
}

// Service returns the name of the service.
func (c Charge) Service() string { return c.service }

// Parts returns the parts, sorted. The caller must not change the slice.
func (c Charge) Parts() []string { return c.parts }

// Struck returns the version of the engines that were lost.
func (c Charge) Struck() string { return c.struck }

// Restricted reports whether only the version Struck crashes.
func (c Charge) Restricted() bool { return c.restricted }

// ID returns a name that equal charges share. It consists of the characters 0 to
// 9 and a to f.
func (c Charge) ID() string {
	version := ""
	if c.restricted {
		version = "\x01" + c.struck
	}
	sum := sha256.Sum256([]byte(c.service + "\x00" + strings.Join(c.parts, "\x00") + version))
	return hex.EncodeToString(sum[:12])
}

// Valid reports whether the charge names a service and parts.
func (c Charge) Valid() bool {
	return c.service != "" && len(c.parts) > 0 && len(c.parts) <= MaxParts && !slices.Contains(c.parts, "")
}

// Matches reports whether a prompt with the given parts at the service has all
// parts of the charge.
func (c Charge) Matches(service string, parts []string) bool {
	return service == c.service && !slices.ContainsFunc(c.parts, func(p string) bool { return !slices.Contains(parts, p) })
}

// Excluded returns the versions whose engines may not be sent a prompt with the given parts,
// and whether no engine of the service may.
func Excluded(charges []Charge, service string, parts []string) (versions []string, all bool) {
	if len(parts) == 0 {
		return nil, false
	}
	for _, c := range charges {
		switch {
		case !c.Matches(service, parts):
		case c.Restricted():
			versions = append(versions, c.Struck())
		default:
			all = true
		}
	}
	return versions, all
}
