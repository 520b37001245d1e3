// Package demo serves the example requests of a site and checks the answers.
package demo
