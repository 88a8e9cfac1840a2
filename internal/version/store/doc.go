// Package store keeps the files of a host with a disk under one data folder.
//
// A file of state is replaced whole: written beside the old one, synced,
// renamed over it, and the folder synced. A log is a file to which records are
// appended and synced one by one. Both carry lengths and checksums, so that a
// torn or corrupt file is named in an error and never taken for state.
package store
