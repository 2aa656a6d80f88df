// Package policy measures the policies of the request path in virtual time.
//
// A model serves generated requests with the choice, queue, health and limit
// code of the schedule module. Plain baselines serve the same arrivals for
// comparison. [Measures] returns the ratios that have bounds.
package policy
