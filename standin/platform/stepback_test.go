package platform

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// call sends a call to the store and returns the status, or zero if the connection was cut, and the header of the era.
func call(s *Store, method, path, body string) (status int, era string) {
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Header().Get("Store-Era")
}

// Guards against a stand-in store that keeps the system's writes across a step back or loses those of the operator.
func TestStoreStepsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore()
		s.Put("config", "main", 1)
		s.Put("servers", "gone", 1)
		s.Put("servers", "late", 1)
		call(s, http.MethodPost, "/objects/roles", `{"metadata":{"name":"r"},"spec":1}`)
		older := s.Copy()
		rev := s.Revision("roles", "r")
		call(s, http.MethodPut, "/objects/roles/r", `{"spec":2}`)
		call(s, http.MethodPost, "/objects/roles", `{"metadata":{"name":"new"},"spec":1}`)
		s.Put("config", "main", 2)
		s.Put("servers", "late", 2)
		s.Put("servers", "new", 1)
		s.Delete("servers", "gone")

		waiting := make(chan int, 2)
		for _, after := range []uint64{s.rev, rev} {
			go func() {
				status, _ := call(s, http.MethodGet, "/objects/idle?wait_ms=30000&watch="+strconv.FormatUint(after, 10), "")
				waiting <- status
			}()
			synctest.Wait()
		}
		s.StepBack(older, 2*time.Second, rand.New(rand.NewPCG(1, 1)))
		statuses := []int{<-waiting, <-waiting}
		is.True(statuses[0]+statuses[1] == http.StatusGone) // The other one was cut.
		is.Equal(s.Revision("roles", "r"), rev)
		is.Equal(s.Spec("roles", "new"), nil)
		is.Equal(string(s.Spec("config", "main")), "1")
		s.Put("servers", "late", 3)

		status, era := call(s, http.MethodGet, "/objects/servers?wait_ms=1&watch=100", "")
		is.Equal(status, http.StatusGone)
		is.Equal(era, "2")
		s.SetFault(Unavailable)
		status, era = call(s, http.MethodGet, "/objects/roles/r", "")
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(era, "2")

		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(string(s.Spec("config", "main")), "2")
		is.Equal(string(s.Spec("servers", "new")), "1")
		is.Equal(string(s.Spec("servers", "late")), "3")
		is.Equal(s.Spec("servers", "gone"), nil)
		is.Equal(string(s.Spec("roles", "r")), "1")
	})
}

// Guards against a second step back that loses what the operator had not yet written again after the first one.
func TestStoreStepsBackWhileItIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore()
		older := s.Copy()
		s.Put("config", "main", 1)
		rng := rand.New(rand.NewPCG(1, 1))
		s.StepBack(older, 2*time.Second, rng)
		s.StepBack(s.Copy(), 2*time.Second, rng)
		is.Equal(s.Spec("config", "main"), nil)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(string(s.Spec("config", "main")), "1")
	})
}
