package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/basiltally/basiltally/boottime"
	"github.com/basiltally/basiltally/pb"
)

func TestLinkAllowanceBoundsTheAverage(t *testing.T) {
	is := is.New(t)
	const linkMbps, message = 200, 300_000
	l := newLinkAllowance(linkMbps)
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if l.free(now) {
			l.use(message, now)
			sent += message
		}
	}
	share := 8 * float64(sent) / 10 / (linkMbps * 1e6)
	is.True(share <= bulkLinkShare+0.01)
	is.True(share > 0.9*bulkLinkShare)

	unknown := newLinkAllowance(0)
	unknown.use(1<<40, 0)
	is.True(unknown.free(0))
}

// hundredsOfFollowers returns an assigner with a table of 989 ranges and 294 followers that have joined at the instant now.
func hundredsOfFollowers(t *testing.T, now time.Duration) (*assigner, []*follower) {
	agent := NewAgent(AgentOptions{VM: "a", Address: "a:1", LinkMbps: 200})
	a := newAssigner(t.Context(), agent, 1, now, predecessor{})
	var followers []*follower
	for i := range 294 {
		f := &follower{queue: make(chan *pb.ShardUpdate, followerQueueSize)}
		a.addFollower(f, &pb.ShardReport{Address: fmt.Sprintf("10.0.%d.%d:8441", i/250, i%250)})
		followers = append(followers, f)
	}
	return a, followers
}

func manyRanges(seq uint64, at time.Duration, held bool) *Table {
	t := &Table{Version: Version{1, seq}, PublishedAt: at}
	for i := range 989 {
		t.Entries = append(t.Entries, Entry{
			Keys: KeyRange{Key(i * 66), Key(i*66 + 65)}, Held: held,
			Owner: Holder{ID: fmt.Sprintf("i-%010x", i*2654435761%(1<<40)), Address: fmt.Sprintf("10.%d.64.%d:8447", i%9, i%250), Born: 1772588900000 + int64(i)},
		})
	}
	return t
}

// After a take-over all VMs got all tables at once, behind which orders waited in the link for longer than their timeouts.
func TestNewFollowersDoNotFillTheLink(t *testing.T) {
	is := is.New(t)
	now := boottime.Now()
	a, followers := hundredsOfFollowers(t, now)
	tables := map[*follower]bool{}
	inSecond := 0
	for step := range 400 {
		at := now + time.Duration(step)*assignerTick
		switch step {
		case 0:
			a.broadcastTable("s", manyRanges(1, at, false), at)
		case 20:
			a.broadcastTable("s", manyRanges(2, at, true), at)
		}
		a.sendTablesToNewFollowers(at)
		for _, f := range followers {
			for len(f.queue) > 0 {
				for _, m := range (<-f.queue).GetTables() {
					is.True(tables[f] || !m.GetDelta()) // No difference to a table that it does not have.
					tables[f] = true
					inSecond += proto.Size(m)
				}
			}
		}
		if at == now+2*time.Second {
			is.Equal(len(tables), len(followers)) // They use the tables of the former term until then.
		}
		if step%40 == 39 {
			is.True(8*inSecond <= int(1.2*bulkLinkShare*200e6))
			inSecond = 0
		}
	}
	is.Equal(len(tables), len(followers))
}
