// Package processtest tests the tier's built programs as processes of an operating system: what
// may end one, and what a first start of the tier waits for. The table of both is in
// docs/design/process-life.md. The package holds tests only.
package processtest
