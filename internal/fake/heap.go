package fake

import (
	"runtime"
	"time"
)

const heapInterval = 5 * time.Millisecond // between readings of the memory in use

// WatchHeap starts to read the heap in use, and returns a function that stops and returns the most that was in use beyond what
// was before, in bytes.
func WatchHeap() func() uint64 {
	runtime.GC()
	before := heapInUse()
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		most := before
		for {
			most = max(most, heapInUse())
			select {
			case <-done:
				peak <- most - before
				return
			case <-time.After(heapInterval):
			}
		}
	}()
	return func() uint64 {
		close(done)
		return <-peak
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}
