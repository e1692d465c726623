// Package form is the web console for operators. Its forms edit one configuration
// document, which is accepted or rejected as a whole.
package form
