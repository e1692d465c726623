// Package acct decides on client accounts: which account a key belongs to, and how the
// entries keep the limit of an account together. See docs/design/quotas.md.
package acct
