// Package policy measures the policies of the request path in virtual time.
//
// A model serves generated requests with the choice, queue, health and limit
// code of the schedule module, and with plain baselines, on the same arrivals.
// [Measures] gives the ratios that have bounds.
package policy
