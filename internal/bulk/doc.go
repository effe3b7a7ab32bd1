// Package bulk sends large values between VMs without holding up other messages: packed
// or as differences, in pieces, and at a part of the link's bandwidth.
package bulk
