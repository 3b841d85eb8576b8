// Package wire holds the generated messages and gRPC services between the
// processes of chestnutstep. The source is wire.proto.
package wire
