// Package soak runs the daemons of a deployment as separate processes, injects
// random faults from outside, and checks the guarantees of the product against
// what callers and targets observe. A seed determines the schedule of the
// faults, not the order in which the processes run.
package soak
