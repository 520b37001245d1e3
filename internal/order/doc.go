// Package order brings engines to the model, adapter, version and role that
// the configuration wants.
//
// An order tells an engine which model, adapter, version and role to serve.
// Only one instance, the home of a service, sends orders to its engines. It
// stores the wanted states under its term before it sends anything, sends the
// term along as the fencing number, and reads the engines' states until they
// match. Engines that check the number refuse the orders of a former writer.
// For those that ignore it, an order's call has a limited lifetime, and a new
// writer waits that long before it sends its first order.
package order
