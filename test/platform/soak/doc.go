// Package soak runs the daemons of a deployment as separate processes, injects
// random faults from outside them, and checks the promises of the product by
// what callers and targets see. A seed fixes the plan of faults, not the order
// in which the processes run.
package soak
