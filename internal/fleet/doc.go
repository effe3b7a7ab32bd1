// Package fleet tracks the model engines from the view of one entry VM. For each
// engine it holds the membership state, the attempts of this VM, the latest load
// report and the token cadence, and decides whether the engine accepts work.
package fleet
