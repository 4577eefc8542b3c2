// Package wire implements Hadoop RPC, version 9, as YARN's clients use it: frames, headers, SASL,
// concurrent calls on one connection, and YARN's records as Protocol Buffers (package pb). It
// has the server's side (Server) and the client's (Conn), and does not depend on what the calls
// mean.
package wire

//go:generate go run ./gen
