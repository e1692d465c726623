// Package vers writes versions of the configuration to the platform's key-value
// service and distributes them to every entry, where they are put in force.
package vers
