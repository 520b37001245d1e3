// Command pierctl changes the configuration and inspects and drains entry
// instances. It is for operators.
package main
