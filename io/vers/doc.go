// Package vers brings versions of the configuration from the operators through
// the platform's service into force at every entry.
package vers
