package conns

import "sync/atomic"

// budget limits the memory that the bodies of large responses use together.
type budget struct {
	free atomic.Int64 // bytes
}

// take reserves n bytes. It returns false, and reserves nothing, if fewer are free.
func (b *budget) take(n int64) bool {
	if b.free.Add(-n) >= 0 {
		return true
	}
	b.free.Add(n)
	return false
}

// release frees n bytes that take has reserved.
func (b *budget) release(n int64) { b.free.Add(n) }
