// Package core has no code of its own; its test holds the packages below it to
// what they must not do.
package core
