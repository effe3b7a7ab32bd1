// Package guide replays the operators' pages. A page is Markdown: it holds
// files, commands with their output, and directives that bring about the
// situation that the page is about. A Runner writes the files, runs the commands
// against a deployment on loopback and compares the output, so that a page shows
// what the programs do.
//
// A fenced block "json NAME" or "go NAME" is a file. In a fenced block "console"
// a line that begins with "$ " is a command and the lines up to the next command
// are its output; "..." in a line matches any text, a line of only "..." any
// lines. An HTML comment "<!-- lab: WORDS -->" is a directive of a Stage.
package guide
