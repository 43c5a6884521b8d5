// Package wire contains the protobuf messages that entry processes exchange.
// scripts/generate generates beat.pb.go and peer.pb.go from beat.proto, which package
// edge uses, and peer.proto, which package node uses.
package wire
