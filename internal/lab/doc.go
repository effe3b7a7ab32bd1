// Package lab has the load client and the summaries of experiments. Its
// callers speak the OpenAI-style API, reconnect with their cursor and verify
// each answer against the simulated engines' expected text.
package lab
