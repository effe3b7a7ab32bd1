// Package study runs the move controller in a seeded simulation of a fleet and
// compares it with a baseline policy of fixed stages and a fixed error threshold.
package study
