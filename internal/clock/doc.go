// Package clock defines the millisecond time type used across the project.
package clock
