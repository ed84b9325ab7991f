// Package scenario runs scripted scenarios over whole daemons, each a real
// process on loopback. A script starts a store, daemons and targets, causes
// failures, and checks what callers and operators saw; see
// docs/design/scenarios.md for the commands.
package scenario
