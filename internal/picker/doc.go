// Package picker chooses the engine for an attempt. It compares four candidates
// by expected load: two found by hashing the start of the prompt onto a
// consistent-hash ring, which favors engines that have the prefix cached, and two
// chosen at random.
package picker
