package journaler

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"slices"

	"google.golang.org/protobuf/proto"
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

// appendMessage appends a frame with the encoded message to the buffer, without a copy
// of the payload: a snapshot is large.
func appendMessage(buffer []byte, m proto.Message) ([]byte, error) {
	start := len(buffer)
	buffer = slices.Grow(buffer, frameHeaderBytes+proto.Size(m))
	buffer = append(buffer, make([]byte, frameHeaderBytes)...)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, m)
	if err != nil {
		return nil, err
	}
	header, payload := buffer[start:start+frameHeaderBytes], buffer[start+frameHeaderBytes:]
	copy(header, frameMagic)
	length := header[len(frameMagic) : len(frameMagic)+4]
	binary.LittleEndian.PutUint32(length, uint32(len(payload)))
	sum := crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
	binary.LittleEndian.PutUint32(header[len(frameMagic)+4:], sum)
	return buffer, nil
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
