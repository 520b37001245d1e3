// Package roster decodes the platform's instance list: the targets of each
// service and whether they are shutting down. It is the only package that
// knows the format of the list.
package roster
