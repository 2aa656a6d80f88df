package main

import (
	"errors"
	"net/http"

	"mimosadock/schedule/verdict"
)

// exitCode is the exit code of the program.
type exitCode int

// The exit codes. They are part of the interface and must not change.
const (
	exitDone     exitCode = 0
	exitFailed   exitCode = 1
	exitUsage    exitCode = 2
	exitUnknown  exitCode = 3
	exitConflict exitCode = 4
	exitFaults   exitCode = 5
)

// codeOf returns the exit code for an error. Errors that are neither an answer
// of the server nor carry a verdict come from reading the command line.
func codeOf(err error) exitCode {
	var p *problem
	if errors.As(err, &p) {
		switch {
		case p.status == http.StatusConflict:
			return exitConflict
		case len(p.Faults) > 0:
			return exitFaults
		case p.Verdict == verdict.MayHaveRun:
			return exitUnknown
		}
		return exitFailed
	}
	var ve *verdict.Error
	if !errors.As(err, &ve) {
		return exitUsage
	}
	if ve.Verdict == verdict.MayHaveRun {
		return exitUnknown
	}
	return exitFailed
}
