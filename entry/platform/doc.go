// Package platform contains the HTTP clients of the platform's services.
//
// Each client implements an interface of the shared module. The verdict of an
// error is DidNotRun after a failed dial and MayHaveRun after a lost response.
package platform
