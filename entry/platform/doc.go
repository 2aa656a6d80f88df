// Package platform holds the HTTP adapters of the platform's services.
//
// Each adapter implements an interface of the shared code. Errors carry exact
// verdicts: a refused dial did not run, a lost answer may have run.
package platform
