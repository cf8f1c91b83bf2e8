package peers

import (
	"encoding/binary"

	"cassialatch.dev/gateway/boottime"
)

// header precedes the message of each datagram. The sender echoes the latest
// timestamp that it received from the recipient. The recipient computes the time
// of the sender's confirmation from this echo, which is a reading of its own
// clock, so a datagram that is delayed in transit can't make a confirmation
// appear fresher than it is.
type header struct {
	incarnation     uint64           // of the sender
	sentAt          boottime.Instant // sender's clock at sending
	echoIncarnation uint64           // recipient's incarnation
	echo            boottime.Instant // latest timestamp received from the recipient; 0: none
}

const headerBytes = 32

// The lowest bits of an incarnation state what the daemon understands. In earlier builds,
// and in daemons without such a feature, they are random; one in 65,536 of those is taken
// for one that understands reports and rejects the messages that contain some.
const (
	formatMask    = 0xffff
	formatReports = 0x5352 // understands Message.ServerReports
)

// append appends the encoded header to b.
func (h header) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, h.incarnation)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.sentAt))
	b = binary.LittleEndian.AppendUint64(b, h.echoIncarnation)
	return binary.LittleEndian.AppendUint64(b, uint64(h.echo))
}

// parseHeader decodes the header of a datagram. It returns false if the datagram
// is too short.
func parseHeader(b []byte) (header, bool) {
	if len(b) < headerBytes {
		return header{}, false
	}
	return header{
		incarnation:     binary.LittleEndian.Uint64(b),
		sentAt:          boottime.Instant(binary.LittleEndian.Uint64(b[8:])),
		echoIncarnation: binary.LittleEndian.Uint64(b[16:]),
		echo:            boottime.Instant(binary.LittleEndian.Uint64(b[24:])),
	}, true
}
