// Package store is the client of the platform's key-value store. It speaks
// HTTP, keeps calls within a local budget, repeats only reads, and tells apart
// writes that did not happen from writes whose answer was lost.
package store
