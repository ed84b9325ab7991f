// Package scenario runs scripted end-to-end scenarios against daemons that run as
// separate processes on loopback addresses. A script starts a store, daemons and
// targets, injects failures, and checks the responses that callers and operators
// got. docs/design/scenarios.md describes the commands.
package scenario
