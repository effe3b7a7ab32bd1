// Package engine is the HTTP client for model engines. It sends attempts and
// orders to engines, fetches their load reports, and converts their event streams
// into router events.
package engine
