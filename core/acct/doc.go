// Package acct finds the client accounts of requests.
package acct
