// Package wire holds the generated messages and services that the processes
// of the system exchange: drpc calls for control and protobuf datagrams
// between entries. The source is wire.proto; `make generate` builds the rest.
package wire
