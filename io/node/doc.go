// Package node assembles a load balancer entry that runs on the users' platform.
package node
