// Package fake holds small stand-ins for the systems around the entries: the
// object API, the instance list, the model engine and the plain service.
//
// They exist for tests, for the demonstration and for the load tool, and are
// not part of the product.
package fake
