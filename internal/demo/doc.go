// Package demo publishes an example site, sends its example requests and checks the
// answers.
package demo
