// Package core has no code of its own. Its test checks the packages below it:
// they must not read the clock, start goroutines, do I/O or use unseeded random
// numbers.
package core
