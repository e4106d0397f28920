package journaler

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A frame is one record: the magic bytes, the length of the payload, a CRC-32C of
// length and payload, and the payload. Each frame is written and synced before
// the next one, so that a crash can tear only the last frame of a file.
const (
	frameMagic       = "amf1"
	frameHeaderBytes = len(frameMagic) + 4 + 4
	// maximumPayloadBytes limits the memory allocated for a frame whose length
	// is damaged.
	maximumPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var errFrame = errors.New("incomplete or damaged frame")

// appendFrame appends a frame with the payload to the buffer.
func appendFrame(buffer, payload []byte) []byte {
	var length [4]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(payload)))
	sum := crc32.Update(crc32.Checksum(length[:], castagnoli), castagnoli, payload)
	buffer = append(buffer, frameMagic...)
	buffer = append(buffer, length[:]...)
	buffer = binary.LittleEndian.AppendUint32(buffer, sum)
	return append(buffer, payload...)
}

// readFrame returns the payload of the frame at the start of data, and the size
// of the whole frame in bytes.
func readFrame(data []byte) ([]byte, int, error) {
	if len(data) < frameHeaderBytes || string(data[:len(frameMagic)]) != frameMagic {
		return nil, 0, errFrame
	}
	length := data[len(frameMagic) : len(frameMagic)+4]
	size := binary.LittleEndian.Uint32(length)
	if size > maximumPayloadBytes || int(size) > len(data)-frameHeaderBytes {
		return nil, 0, errFrame
	}
	payload := data[frameHeaderBytes : frameHeaderBytes+int(size)]
	sum := crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
	if sum != binary.LittleEndian.Uint32(data[len(frameMagic)+4:]) {
		return nil, 0, errFrame
	}
	return payload, frameHeaderBytes + int(size), nil
}

// containsFrame reports whether an intact frame starts anywhere in data. An
// intact frame after a damaged one proves that the damage isn't a torn tail.
func containsFrame(data []byte) bool {
	for len(data) > 0 {
		i := bytes.Index(data, []byte(frameMagic))
		if i < 0 {
			return false
		}
		if _, _, err := readFrame(data[i:]); err == nil {
			return true
		}
		data = data[i+1:]
	}
	return false
}
