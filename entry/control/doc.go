// Package control runs the control goroutine of an entry process.
//
// A [Loop] owns every table of the process. Other goroutines send it typed
// messages over a bounded channel. The loop runs a tick every [TickInterval] and
// on request. In each tick it runs its systems over the tables and publishes an
// immutable [View].
//
// Terms of this package:
//
//   - The services text is the configuration of the services, teams, kinds of
//     jobs, upstream sets and data centres.
//   - A tenure is the ownership of a data centre by one entry process for one
//     epoch; see package tenure.
//   - A board holds the jobs and workers of one data centre; see package work.
//   - Standing work consists of tasks that run until they are cancelled.
//   - The home of a job is the data centre whose owner schedules it.
//   - A pin is the grant of a slow slot to one request until its deadline, for a
//     request that may outlast an unpinned grant. Such a slot is a pinned slot.
//
// Package slot defines quick and slow slots, holders and granters. Package
// tenure defines the rights of an owner.
package control
