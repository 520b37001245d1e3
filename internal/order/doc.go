// Package order brings engines to the model, adapter, version and role that
// the configuration wants.
//
// One instance, the home of a service, writes the orders of its engines. It
// records the wanted state under its term before it sends anything, sends the
// term along as the fencing number, and reads the engines back until they are
// as wanted. Engines that check the number refuse a former writer. For those
// that ignore it, the life of an order is bounded, and a new writer waits that
// bound out before its first order.
package order
