// Package page writes the results of replays as one self-contained HTML page.
package page
