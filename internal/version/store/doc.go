// Package store durably stores the files of a host with a disk in one data folder.
// Package controller keeps the register's state in it, package trail the audit
// trail. The package doesn't interpret what it stores.
//
// A state file is replaced atomically: the new content is written to a temporary
// file, synced and renamed over the old file, and then the folder is synced. A log
// is a file to which records are appended and synced one by one. State files and
// log records carry their length and a checksum. A torn or corrupt state file and
// a corrupt log are therefore reported with their path and never read as valid
// data, and a torn record at the end of a log is truncated.
package store
