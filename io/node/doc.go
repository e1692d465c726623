// Package node puts one entry instance on the users' platform together.
package node
