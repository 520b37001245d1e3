// Command pierfake runs a stand-in for one of the systems around the entry
// instances: the object API, a model engine or a plain service. It is for
// tests, the demonstration and measurements only.
package main
