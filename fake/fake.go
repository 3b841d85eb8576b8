// Package fake provides fakes of the systems outside the fleet: model engines,
// plain services, the platform and callers. A test injects faults into them
// over HTTP or through methods. The targets record every execution in a
// journal, so that a test checks its results against the targets' records and
// not against the fleet's own.
//
// docs/TARGETS.md describes the protocol of engines and services.
package fake
