// Package guide runs the examples in the operators' documentation as tests. A
// page is a Markdown file that contains files, commands with their expected
// output, and directives that change the deployment. A Runner writes the files,
// runs the commands against a Deployment on loopback addresses and compares
// their output with the page.
//
// A fenced block with the info string "json NAME" or "go NAME" defines a file.
// In a fenced block "console", a line that begins with "$ " is a command, and
// the lines up to the next command are its expected output. "..." within a line
// matches any text, and a line of only "..." matches any number of lines. A
// fenced block "text" is ignored. An HTML comment "<!-- lab: WORDS -->" is a
// directive: "repeat TIME" is handled by the Runner and makes it repeat the next
// command until its output matches, the others by the Deployment.
package guide
