// Package platform holds the HTTP clients of the services that the platform
// provides, one file for each.
package platform
