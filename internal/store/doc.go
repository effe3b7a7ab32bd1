// Package store is the HTTP client of the platform's key-value store. It limits
// the rate of calls, retries only reads, and distinguishes writes that did not
// happen from writes whose outcome is unknown because the answer was lost.
package store
