// Package blame finds requests, and parts of prompts, that crash targets, and
// quarantines them.
//
// A target that crashes breaks all its requests, so that one crash says little
// about any of them. A fatal one differs from those that were only on the same
// target in that it is never answered: a part of a prompt, or a request as a
// whole, is quarantined after several crashes with no answer in between. Many
// requests share a part, so that its crashes have to be at different times, and
// an answer clears it for a while. A request as a whole comes again only as its
// caller sends it again; it may become fatal after any answer.
//
// Instances tell each other of crashes and of answers to suspects, so that all
// of them come to the same conclusion. Nothing of this is stored.
package blame
