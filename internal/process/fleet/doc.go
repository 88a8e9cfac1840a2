// Package fleet is a host of a system whose targets guard their own resources:
// it finds the other hosts, follows the replicated catalog, and, on an entry
// host, takes jobs and runs them on the targets of its pool.
//
// Every failure domain's targets form one pool with one holder among the entry
// hosts (package holder). Only the holder orders them; other hosts pass jobs on
// to it. Decisions are made by pure cores: scheduler, holder, discovery and
// register. This package moves messages between them, the network and the disk.
package fleet
