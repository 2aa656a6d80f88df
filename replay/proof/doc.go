// Package proof replays traces and compares what they show with their stated
// outcomes.
package proof
