package main

import (
	"errors"
	"net/http"

	"mimosadock/schedule/verdict"
)

// exitCode is an exit code of the program.
type exitCode int

// The exit codes. Scripts depend on them, so they must not change.
const (
	exitOK       exitCode = 0
	exitFailed   exitCode = 1 // the command was refused or failed without a change
	exitUsage    exitCode = 2
	exitUnknown  exitCode = 3 // the outcome is unknown
	exitConflict exitCode = 4 // the base revision is not the newest one
	exitFaults   exitCode = 5 // the services text or the configuration has faults
)

// exitCodeOf returns the exit code for an error. An error that is not a *problem
// and has no verdict has the code exitUsage. These are errors of the command line,
// unreadable input files, failed writes and an interrupt between two polls.
func exitCodeOf(err error) exitCode {
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
	if errors.Is(err, errFindings) {
		return exitFaults
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
