// Package faults holds failure tests with real processes: scripts in testdata
// start a fleet, kill, freeze and stop its processes in the middle of requests,
// and compare what callers got with the targets' own logs. The cells of the
// fault matrix that need no real process are in package matrix.
package faults
