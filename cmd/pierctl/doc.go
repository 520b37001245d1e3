// Command pierctl is the operators' command.
package main
