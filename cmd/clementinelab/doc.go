// Command clementinelab runs simulated upstreams and platform services, and the
// experiments with them.
//
// It exits with 0 on success, 1 after a failure and 2 on wrong usage.
package main
