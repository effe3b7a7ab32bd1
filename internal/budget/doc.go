// Package budget bounds extra work, such as retries and hedged calls, by the
// amount of first attempts.
package budget
