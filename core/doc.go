// Package core holds the named types and the interfaces that the rest of
// almondrill is built on.
//
// # Concepts
//
// A router takes a caller's request and hands it, as a Call, to the agent on
// some VM. The agent passes it to one of the endpoints (engine or service)
// beside it and streams the answer back as Parts. Every attempt ends in exactly
// one Outcome; see Outcome for what each allows.
//
// # Invariants
//
//   - Nothing at or below this package opens a socket, reads a clock of its own
//     or draws from a global random source. Time comes from Clock, randomness
//     from Rand, everything outside from KV, VMList, Peers and Endpoint.
//   - NotRun is said only where the call provably never reached an endpoint.
//     Whatever cannot be proved is Unknown.
//
// # Usage
//
// Implementations live below this package (core/router, core/agent and what
// they use); adapters that satisfy the interfaces live under io/. Tests supply
// fakes and run the same code on virtual time.
package core
