// Package replicator decides for one replica of a replicated log.
package replicator
