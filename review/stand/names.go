package main

import (
	_ "embed"
	"encoding/json"
)

// namesJSON holds the names of the users' platform.
//
//go:embed names.json
var namesJSON []byte

// names maps short words to the names of the users' platform: header fields, paths
// and keys of the store.
var names = mustNames()

func mustNames() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(namesJSON, &m); err != nil {
		panic(err)
	}
	return m
}

const (
	headerID       = "X-Request-Id"
	headerDeadline = "X-Deadline-Ms"
	headerNotRun   = "X-Not-Run"
	headerPosition = "Last-Event-Id"
)
