// Package quota divides the capacity of a data centre among teams.
//
// Teams are served by dominant resource fairness: A. Ghodsi, M. Zaharia, B.
// Hindman, A. Konwinski, S. Shenker and I. Stoica, "Dominant Resource
// Fairness: Fair Allocation of Multiple Resource Types", NSDI 2011. A team
// below its quota is served before one that borrows idle capacity of others.
package quota
