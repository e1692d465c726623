// Package vers holds the decisions about versions of the configuration: whether
// a document is valid, which version is newer, and how a change is settled.
package vers
