// Package budget limits retries and the bytes sent over links between regions.
package budget
