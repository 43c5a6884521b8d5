// Package wire holds the protobuf messages that entry processes exchange. The
// code in peer.pb.go is generated from peer.proto by scripts/generate.
package wire
