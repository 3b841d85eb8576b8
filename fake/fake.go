// Package fake holds stand-ins for the systems outside the fleet: model
// engines, plain services, the platform, and callers. They are small, they
// misbehave on demand, and they keep a log of what they executed, so that a
// test takes its evidence from the far end and not from the fleet itself.
//
// The protocol that engines and services speak is docs/TARGETS.md.
package fake
