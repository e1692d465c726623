// Package pick decides which registered upstream takes a request, who waits for
// room and who is refused.
package pick
