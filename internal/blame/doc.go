// Package blame finds parts of prompts that crash targets, and quarantines
// them.
//
// A target that crashes breaks all its requests, so that one crash says little
// about any of them. A fatal part differs from one that was only on the same
// target in that no request with it is ever answered: a part is quarantined
// after several crashes, at different times, with no answer in between.
// Instances tell each other of crashes and of answers to suspected parts, so
// that all of them come to the same conclusion. Nothing of this is stored.
package blame
