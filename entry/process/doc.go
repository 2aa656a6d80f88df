// Package process assembles an entry process from the packages of this module.
//
// The entry program and other programs, such as the demo, run it. The package
// therefore reads no flags and handles no signals.
package process
