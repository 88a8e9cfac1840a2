// Package membershippb holds the protobuf messages with which entry hosts report
// targets and other entry hosts to each other.
//
// Messages state times as ages, never as instants, so that the clocks of hosts need
// not agree.
package membershippb
