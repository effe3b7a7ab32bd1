// Package budget limits extra attempts, such as retries and hedges, and the
// bytes that are sent over links between regions.
package budget
