// Package strict reads HTTP responses more strictly than package net/http,
// which takes some heads that are no HTTP and then another part of the
// connection for the body.
package strict
