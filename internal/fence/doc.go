// Package fence changes an object of the object API by conditional updates and
// settles lost answers, so that a writer knows whether an update took effect
// or another writer came first.
package fence
