package assigner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/pb"
)

func report(total, count uint64) *pb.KeyLoad {
	return &pb.KeyLoad{Group: "g", Total: total, Keys: []*pb.KeyCount{{KeyHi: 1, KeyLo: 2, Count: count}}}
}

func TestLoadOfAllEntriesIsAddedUpOnceAnInterval(t *testing.T) {
	is := is.New(t)
	s := loadSum{reports: make(map[string]loadReport), delivered: -LoadReportInterval}
	_, due := s.add(0, "vm1", report(100, 40))
	is.True(due)
	_, due = s.add(time.Millisecond, "vm2", report(100, 20))
	is.True(!due)
	sum, due := s.add(LoadReportInterval, "vm1", report(100, 40))
	is.True(due)
	is.Equal(sum.Total, 200.0)
	is.Equal(sum.Keys[0].PerSecond, 60.0)
	sum, due = s.add(LoadReportInterval+loadLife, "vm1", report(100, 40))
	is.True(due)
	is.Equal(sum.Total, 100.0) // the other entry's report is too old
}
