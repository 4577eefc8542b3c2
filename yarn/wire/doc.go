// Package wire implements Hadoop RPC, version 9, as YARN's clients use it: frames, headers, SASL
// and concurrent calls on one connection. Package pb has YARN's messages as Protocol Buffers.
// Server is the server side and Conn the client side. The package does not depend on the meaning of
// the calls.
package wire

//go:generate go run ./gen
