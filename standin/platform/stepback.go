package platform

import (
	"cmp"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// eraHeader states in each answer of the store how often it has come back from an older copy.
const eraHeader = "Store-Era"

// Copy is the content of a Store at an instant, with its history.
type Copy struct {
	rev, compacted uint64
	objects        map[string]map[string]Object
	events         []event
}

// objectKey identifies an object.
type objectKey struct{ kind, name string }

// rewrite is a write of the operator or a target that a step back has undone.
type rewrite struct {
	spec json.RawMessage
	// deleted is set if the object was deleted.
	deleted bool
	// era is the era that the step back has begun.
	era uint64
}

// Copy returns a copy of the content to which StepBack can return.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{rev: s.rev, compacted: s.compacted, objects: copyObjects(s.objects), events: slices.Clone(s.events)}
}

// StepBack makes the store come back from the copy: what was written since is gone, its revisions are given out again and
// the era rises by one. Polls that wait are cut or answered with 410. What the operator and the targets have written since, by
// Put and Delete, is written again, each object at its own random instant within the duration, unless they write it themselves
// before that.
func (s *Store) StepBack(c *Copy, within time.Duration, rng *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := s.outsideLocked()
	s.rev, s.compacted, s.objects, s.events = c.rev, c.compacted, copyObjects(c.objects), slices.Clone(c.events)
	s.era++
	clear(s.rewrites)
	restored := s.outsideLocked()
	for key := range restored {
		if _, ok := written[key]; !ok {
			s.rewrites[key] = rewrite{deleted: true, era: s.era}
		}
	}
	for key, spec := range written {
		if old, ok := restored[key]; !ok || string(old) != string(spec) {
			s.rewrites[key] = rewrite{spec: spec, era: s.era}
		}
	}
	keys := slices.SortedFunc(maps.Keys(s.rewrites), func(a, b objectKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
	for _, key := range keys {
		era := s.era
		time.AfterFunc(time.Duration(rng.Float64()*float64(within)), func() { s.writeAgain(key, era) })
	}
	s.wakePollsLocked()
}

// writeAgain carries out the rewrite of an object if it is still due in the era.
func (s *Store) writeAgain(key objectKey, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rewrites[key]
	if !ok || r.era != era {
		return
	}
	delete(s.rewrites, key)
	if r.deleted {
		s.deleteLocked(key.kind, key.name)
		return
	}
	s.writeLocked(key.kind, key.name, r.spec)
}

// outsideLocked returns the content of the objects of the operator and the targets as they have last written them, including the
// rewrites that are still due.
func (s *Store) outsideLocked() map[objectKey]json.RawMessage {
	specs := map[objectKey]json.RawMessage{}
	for kind := range s.outside {
		for name, o := range s.objects[kind] {
			specs[objectKey{kind, name}] = o.Spec
		}
	}
	for key, r := range s.rewrites {
		if r.deleted {
			delete(specs, key)
		} else {
			specs[key] = r.spec
		}
	}
	return specs
}

// noteOutsideLocked records that the operator or a target writes an object, in place of a rewrite that is still due.
func (s *Store) noteOutsideLocked(kind, name string) {
	s.outside[kind] = true
	delete(s.rewrites, objectKey{kind, name})
}

// stateEraLocked sets the era in the answer's header.
func (s *Store) stateEraLocked(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}

func copyObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	c := map[string]map[string]Object{}
	for kind, byName := range objects {
		c[kind] = maps.Clone(byName)
	}
	return c
}
