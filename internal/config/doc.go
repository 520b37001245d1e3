// Package config defines the shared configuration: services, customers and
// profiles. It is parsed and checked here and nowhere else.
package config
