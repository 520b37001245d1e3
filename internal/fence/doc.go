// Package fence updates objects of the object API with compare-and-swap. When
// the answer to an update is lost, it reads the object back, so that a writer
// always learns whether its update took effect or another writer came first.
package fence
