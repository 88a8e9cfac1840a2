package store

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A frame is a payload with its header: 4 bytes of magic, the payload's length
// in 4 bytes, and the xxhash64 of length and payload in 8 bytes.
const (
	magicBytes  = 4
	headerBytes = 16
	// MaxPayloadBytes bounds the payload of a file or record, bytes.
	MaxPayloadBytes = 64 << 20
)

var magic = [magicBytes]byte{'W', 'F', 'S', '1'}

// appendFrame appends the payload with its header to out.
func appendFrame(out, payload []byte) []byte {
	start := len(out)
	out = append(out, magic[:]...)
	out = binary.BigEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.BigEndian.AppendUint64(out, 0)
	out = append(out, payload...)
	binary.BigEndian.PutUint64(out[start+8:], checksum(out[start+4:start+8], payload))
	return out
}

// parseFrame returns the payload of the frame at the start of data.
func parseFrame(data []byte) ([]byte, error) {
	if len(data) < headerBytes {
		return nil, fmt.Errorf("%w: %d bytes are too few for a header", ErrCorrupt, len(data))
	}
	if [magicBytes]byte(data) != magic {
		return nil, fmt.Errorf("%w: no header", ErrCorrupt)
	}
	length := int(binary.BigEndian.Uint32(data[4:]))
	if length > MaxPayloadBytes || length > len(data)-headerBytes {
		return nil, fmt.Errorf("%w: %d bytes are missing", ErrCorrupt, length-(len(data)-headerBytes))
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
