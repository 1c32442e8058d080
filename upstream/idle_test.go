package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// age makes all idle connections to the target idle for the given time.
func (c *Client) age(address string, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.pools[address].idle {
		cn.idleSince = time.Now().Add(-idle)
	}
}

// Guards against a request that closes connections which only it cannot use.
func TestConnectionTooOldForOneRequestIsKeptForOthers(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, answerInTurn(validAnswer, validAnswer, validAnswer))
	c := New(Options{Headers: testHeaders})
	_, f := do(t, c, tg, request("1"))
	is.Equal(f, nil)
	c.age(tg.address, 3*time.Second)
	once := request("2")
	once.MaxIdle = 2 * time.Second
	_, f = do(t, c, tg, once)
	is.Equal(f, nil)
	is.Equal(len(tg.conns), 2) // The one that was idle for 3 s is not used for it.
	is.Equal(len(c.pools[tg.address].idle), 2)
	is.True(c.IdleAddresses(2 * time.Second)[tg.address])
	c.age(tg.address, 3*time.Second)
	_, f = do(t, c, tg, request("3"))
	is.Equal(f, nil)
	is.Equal(len(tg.conns), 2)
}

// At the limit of connections, one that is of no use to the request is closed in favour of a new one.
func TestOldConnectionMakesRoomAtTheLimit(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, answerInTurn(validAnswer, validAnswer))
	c := New(Options{Headers: testHeaders})
	c.SetLimit(1)
	_, f := do(t, c, tg, request("1"))
	is.Equal(f, nil)
	c.age(tg.address, 3*time.Second)
	once := request("2")
	once.MaxIdle = 2 * time.Second
	_, f = do(t, c, tg, once)
	is.Equal(f, nil)
	is.Equal(len(tg.conns), 2)
	is.Equal(c.pools[tg.address].open, 1)
}
