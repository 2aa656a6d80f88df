// Package proof replays traces and compares the measured figures with the
// expected outcomes.
package proof
