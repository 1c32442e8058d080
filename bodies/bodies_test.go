package bodies

import (
	"bufio"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endless is a sender that does not stop.
type endless struct{ pause time.Duration }

func (e endless) Read(p []byte) (int, error) {
	time.Sleep(e.pause)
	clear(p)
	return len(p), nil
}

// Bytes without end from one target took all the memory for bodies, so that the answers to other callers found none.
func TestEndlessBodiesLeaveRoomForOthers(t *testing.T) {
	is := is.New(t)
	const maxBytes = 2 << 20
	m := NewMemory(maxBytes)
	var senders sync.WaitGroup
	for range 4 {
		senders.Go(func() {
			for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
				b, err := m.ReadAll(endless{time.Millisecond}, 64<<20)
				is.True(b == nil)
				is.Equal(err, ErrNoMemory)
			}
		})
	}
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
		known, err := m.ReadLength(strings.NewReader("known"), 5, maxBytes)
		is.NoErr(err)
		short, err := m.ReadAll(strings.NewReader("short"), maxBytes)
		is.NoErr(err)
		chunked, err := m.ReadChunked(bufio.NewReader(strings.NewReader("3\r\nabc\r\n0\r\n\r\n")), maxBytes)
		is.NoErr(err)
		is.Equal(string(known.Data)+string(short.Data)+string(chunked.Data), "knownshortabc")
		known.Release()
		short.Release()
		chunked.Release()
	}
	senders.Wait()
	is.Equal(m.Used(), int64(0))
}

func TestBodyUsesWhatItMayWhenItIsAlone(t *testing.T) {
	is := is.New(t)
	m := NewMemory(1 << 20)
	b, err := m.ReadAll(io.LimitReader(endless{}, 700<<10), 1<<20)
	is.NoErr(err)
	is.Equal(len(b.Data), 700<<10)
	b.Release()
	b, err = m.ReadLength(endless{}, 1<<20, 1<<20)
	is.NoErr(err)
	b.Release()
	is.Equal(m.Used(), int64(0))
}

// A body of unknown length is read into a buffer that grows by doubling, of which only the used part counted.
func TestWholeBufferCounts(t *testing.T) {
	is := is.New(t)
	m := NewMemory(4 << 20)
	b, err := m.ReadAll(strings.NewReader(strings.Repeat("x", 600<<10)), 1<<20)
	is.NoErr(err)
	is.Equal(m.Used(), int64(cap(b.Data)))
	b.Release()
	is.Equal(m.Used(), int64(0))
}

// Guards against a memory that does not count as short although a body has just found no room.
func TestMemoryIsShortAfterABodyFoundNoRoom(t *testing.T) {
	is := is.New(t)
	m := NewMemory(1000)
	is.True(!m.Short())
	release := m.Hold(800)
	is.True(m.Short())
	release()
	is.True(!m.Short())
	_, err := m.ReadLength(strings.NewReader(""), 2000, 5000)
	is.Equal(err, ErrNoMemory)
	is.True(!m.Short())
	release = m.Hold(400)
	_, err = m.ReadLength(strings.NewReader(""), 700, 5000)
	is.Equal(err, ErrNoMemory)
	is.True(m.Short())
	release()
}
