// Package setting reads and checks the settings of the entry process.
//
// Every setting is a flag with an environment variable beside it. Settings are
// checked before anything is opened.
package setting
