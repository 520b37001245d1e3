package feed

import (
	"strconv"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Version orders the states of an object. Numbers are comparable within one era only: a source that comes back from an older
// copy of its data counts on from there, in a higher era. The zero value comes before all others.
type Version struct {
	Era    uint64 `cbor:"1,keyasint,omitempty"` // zero for a source without eras
	Number uint64 `cbor:"2,keyasint"`
}

// After reports whether v is newer than old.
func (v Version) After(old Version) bool {
	if v.Era != old.Era {
		return v.Era > old.Era
	}
	return v.Number > old.Number
}

// String returns the number, behind the era if there is one.
func (v Version) String() string {
	number := strconv.FormatUint(v.Number, 10)
	if v.Era == 0 {
		return number
	}
	return strconv.FormatUint(v.Era, 10) + "." + number
}

// Object is one state of a shared object.
type Object struct {
	Version Version `cbor:"1,keyasint"`
	Value   []byte  `cbor:"2,keyasint"` // empty if only the version is known
	// RecoveredAgo is how long ago the source answered again after an outage, as the peer that sends the object knows; zero for
	// never.
	RecoveredAgo clock.Millis `cbor:"3,keyasint,omitempty"`
	// AsOf is the number of the source, in the era of the version, up to which it had nothing newer; zero if unknown, or if the
	// version is not a number of the source.
	AsOf uint64 `cbor:"4,keyasint,omitempty"`
}

// IsZero reports whether there is no such state yet.
func (o Object) IsZero() bool { return o.Version == Version{} }
