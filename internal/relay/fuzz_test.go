package relay

import (
	"bytes"
	"testing"
)

// Guards against: bytes of a target that are no stream of events make the reader fail other than by an error, change them, or
// keep more than its limits.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n: comment\n\nid: 2\r\ndata: y\r\n\r\n"))
	f.Add([]byte("id: 3\nda"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		events := newEventReader(bytes.NewReader(stream))
		var forwarded []byte
		for {
			e, err := events.next()
			if err != nil {
				break
			}
			if len(e.data) > maxEventBytes || events.unnumbered > maxUnnumberedBytes {
				t.Fatalf("event of %d bytes, %d bytes without an id", len(e.data), events.unnumbered)
			}
			forwarded = append(forwarded, e.data...)
		}
		if !bytes.HasPrefix(stream, forwarded) {
			t.Fatal("the events are not the bytes that were received")
		}
	})
}
