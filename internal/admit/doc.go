// Package admit decides which waiting request is served next and which requests
// are refused early. Waiting requests are bounded for each workspace and class,
// workspaces share capacity by weighted fair queueing, and a request is refused
// if its predicted wait leaves too little time before its deadline.
package admit
