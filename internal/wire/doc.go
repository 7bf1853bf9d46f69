// Package wire holds the generated code of the protocols between instances: drpc calls
// for control, and protobuf datagrams between entries. The sources are wire.proto and
// directory.proto; `make generate` builds the rest.
package wire
