// Package proc holds the decisions whose state lives as long as the process:
// picking, limits, budgets, membership, quarantine and the key table. Nothing
// here reads a clock, starts a goroutine or does input or output.
package proc
