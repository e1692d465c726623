// Package route matches requests to routes and distributes them over the
// services of a route.
package route
