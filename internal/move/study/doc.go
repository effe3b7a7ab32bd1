// Package study runs the move controller in a seeded simulation of a fleet and
// measures it beside a plain staged rollout with a fixed error threshold.
package study
