// Package crowd plays clients that do not behave: many connections at once that send
// large requests in part, send nothing, or do not read their answers. It also measures
// the process that they call, through the proc file system.
package crowd
