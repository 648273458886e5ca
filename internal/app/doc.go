// Package app builds and runs pinedale as the operator's file configures it. Package config reads and checks that file.
//
// Instance is the running process: the engine with its fronts, its source of membership, its certificate stores and its
// connection to other instances, each built in a file of its own. Instance.Reload replaces what may change while it
// runs.
package app
