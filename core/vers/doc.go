// Package vers validates configuration documents, orders their versions and
// decides whether a change is accepted.
package vers
