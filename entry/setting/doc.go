// Package setting defines and checks the settings of the entry process.
//
// Every setting is a flag and an environment variable. The settings are checked
// before the process opens files or addresses.
package setting
