// Package config defines the configuration that all entry instances share:
// services, customers, profiles and the operation log. It is the only place
// that decodes and validates it.
package config
