// Package entry assembles the components of an entry instance and runs them.
package entry
