// Package form is the operators' console: forms whose only output is one
// document, accepted whole or refused.
package form
