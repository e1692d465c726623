// Package entry puts the parts of an entry instance together and runs them.
package entry
