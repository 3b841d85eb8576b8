// Package config holds what a process is told: the settings of one process,
// which it reads from a file when it starts, and the publication of the whole
// fleet, which it learns from the platform and from its peers while it runs.
//
// Files are JSON with comments. A mistake is reported with its file, line and
// field, and all mistakes of a file are reported together, so that an operator
// mends a file in one go instead of meeting its errors one by one.
package config
