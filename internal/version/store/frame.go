package store

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A frame is a header and a payload. The header is 4 magic bytes, the length of the
// payload in 4 bytes, and the xxhash64 of the length and the payload in 8 bytes,
// both numbers in big-endian order.
const (
	magicBytes  = 4
	headerBytes = 16
	// MaxPayloadBytes is the maximum size of the payload of a state file or of a
	// log record.
	MaxPayloadBytes = 64 << 20
)

var magic = [magicBytes]byte{'W', 'F', 'S', '1'}

// appendFrame appends the frame of the payload to dst.
func appendFrame(dst, payload []byte) []byte {
	start := len(dst)
	dst = append(dst, magic[:]...)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.BigEndian.AppendUint64(dst, 0)
	dst = append(dst, payload...)
	binary.BigEndian.PutUint64(dst[start+8:], checksum(dst[start+4:start+8], payload))
	return dst
}

// parseFrame returns the payload of the frame at the start of data. The error wraps
// ErrCorrupt if there is no complete, valid frame.
func parseFrame(data []byte) ([]byte, error) {
	if len(data) < headerBytes {
		return nil, fmt.Errorf("%w: %d bytes are too few for a frame header", ErrCorrupt, len(data))
	}
	if [magicBytes]byte(data) != magic {
		return nil, fmt.Errorf("%w: the magic bytes are missing", ErrCorrupt)
	}
	length := int(binary.BigEndian.Uint32(data[4:]))
	if length > MaxPayloadBytes || length > len(data)-headerBytes {
		return nil, fmt.Errorf("%w: %d bytes of the payload are missing", ErrCorrupt, length-(len(data)-headerBytes))
	}
	payload := data[headerBytes : headerBytes+length]
	if binary.BigEndian.Uint64(data[8:]) != checksum(data[4:8], payload) {
		return nil, fmt.Errorf("%w: the checksum does not match", ErrCorrupt)
	}
	return payload, nil
}

func checksum(length, payload []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(length)
	_, _ = d.Write(payload)
	return d.Sum64()
}
