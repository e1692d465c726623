// Package route decides which service a request belongs to.
package route
