// Package fake implements fakes of the systems that entry instances depend on:
// the object API, the instance list, the model engine and the plain service.
//
// They serve the tests, the demonstration and the load generator, and are not
// part of the product.
package fake
