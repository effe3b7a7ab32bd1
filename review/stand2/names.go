package main

import (
	_ "embed" // names.txt
	"strings"
)

//go:embed names.txt
var namesText string

// names holds the platform's names for header fields, paths and keys by a short name.
var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	list := make(map[string]string)
	for line := range strings.Lines(text) {
		if short, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			list[short] = name
		}
	}
	return list
}

// name returns the platform's name for a short name.
func name(short string) string {
	n, ok := names[short]
	if !ok {
		panic("no name for " + short)
	}
	return n
}
