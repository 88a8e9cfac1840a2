// Package membershippb holds the protobuf messages by which entry hosts tell
// each other of targets and of other entry hosts.
//
// Times between hosts are always ages, never instants, so that clocks need not
// agree.
package membershippb
