// Package queue decides which requests wait for room at targets, for how long,
// in which order they are tried again, and when those that are refused should
// return.
//
// It decides only: the time and random numbers are passed in, nothing blocks,
// and the caller serializes all calls.
package queue
