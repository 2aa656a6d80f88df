// Package process assembles an entry process from its parts.
//
// The program of this module and the main job both start it; nothing here
// reads flags or signals.
package process
