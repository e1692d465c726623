// Package front serves the connections of callers: it reads requests, also
// while earlier ones are in progress, and writes their answers in order.
package front
