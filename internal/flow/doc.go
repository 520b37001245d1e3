// Package flow executes admitted requests. It acquires a target, forwards the
// answer to the caller, resumes broken streams, retries requests that may run
// again, and releases the target's slot and memory.
package flow
