// Package core defines the types and interfaces that the rest of almondrill is built on.
//
// # Concepts
//
// A router receives a caller's request and sends it, as a Call, to the agent on some VM. The agent
// forwards it to one of the endpoints (engine or service) on its VM and streams the answer back as
// Parts. Every attempt ends with exactly one Outcome, which determines whether it may be retried.
//
// # Invariants
//
//   - Nothing in or below this package opens a socket, reads the system clock or uses a global
//     random source. Time comes from Clock, randomness from Rand, and the outside world is reached
//     through KV, VMList, Peers and Endpoint.
//   - NotRun is reported only if the call provably never reached an endpoint. Anything that cannot
//     be proved is Unknown.
//
// # Usage
//
// The logic lives in the packages below this one (core/router, core/agent and those that they use);
// adapters that implement the interfaces are under io/. Tests provide fakes and run the same code on
// virtual time.
package core
