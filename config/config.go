// Package config reads and checks the configuration of a process: its own settings,
// which it reads from a file when it starts, and the publication of the whole
// fleet, which it receives from the platform and from its peers while it runs.
//
// Files are JSON with comments. All mistakes of a file are reported together, each with
// its file, line and field, so that an operator can correct them in one pass.
package config
