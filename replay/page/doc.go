// Package page renders the results of replays as one self-contained HTML page.
package page
