// Package faults contains failure tests with real processes: scripts in testdata
// start a fleet, kill, suspend and stop its processes during requests, and compare
// the callers' results with the targets' journals. Package matrix covers the cells
// of the fault matrix that need no real processes.
package faults
