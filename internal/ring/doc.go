// Package ring provides the bounded queue that joins two duties.
package ring
