// Package loop runs the functions that touch control state on one goroutine.
package loop
