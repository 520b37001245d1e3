// Package blame finds parts of prompts that crash targets, and quarantines
// them.
//
// A target that crashes breaks all its requests, so that one crash says little
// about any of them. What tells a fatal part from a bystander is that no
// request with it was ever answered: a part is quarantined after several
// crashes, at different times, with no answer in between. Instances tell each
// other of crashes and of answers to suspected parts, so that all of them come
// to the same conclusion. Nothing of this is stored.
package blame
