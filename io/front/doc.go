// Package front is the HTTP/1.1 server for callers. It reads pipelined requests
// while earlier ones are in progress and writes the responses in request order.
package front
