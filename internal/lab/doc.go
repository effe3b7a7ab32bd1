// Package lab runs a deployment with simulated engines, plain services and
// platform services on loopback. It sends requests whose responses it can
// verify, injects faults and measures the result.
package lab
