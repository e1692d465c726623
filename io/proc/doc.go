// Package proc guards the process's decisions for concurrent use and gives them
// the time.
package proc
