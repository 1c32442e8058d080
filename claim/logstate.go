package claim

import (
	"slices"

	"github.com/basiltally/basiltally/pb"
)

// recordState is the state of one idempotency key.
type recordState uint8

const (
	// stateClaimed means that the request may be executing or that its outcome was lost.
	stateClaimed recordState = iota + 1
	// stateDoubt means that the request was dispatched and its outcome is unknown.
	stateDoubt
	// stateDone means that the request ran and its answer is recorded.
	stateDone
	// stateReleased means that another attempt may claim the key.
	stateReleased
)

// record is the content of the log for one idempotency key.
type record struct {
	attempt     Attempt
	fingerprint Fingerprint
	state       recordState
	// claimedMS is the log time of the claim and runUntilMS the latest end of its run, both in
	// Unix milliseconds.
	claimedMS, runUntilMS int64
	answer                *pb.ClaimAnswer
	// released lists the attempts that must not claim the key any more, the latest last.
	released []Attempt
}

// maxReleased is the largest length of record.released. A released attempt whose
// claim arrives after so many later releases of its key can claim the key again;
// that leaves the key in doubt, but the request does not run.
const maxReleased = 16

func (r *record) hasReleased(a Attempt) bool { return slices.Contains(r.released, a) }

func (r *record) addReleased(a Attempt) {
	if r.hasReleased(a) {
		return
	}
	if len(r.released) == maxReleased {
		r.released = r.released[1:]
	}
	r.released = append(r.released, a)
}

// expiry is a queued removal of a record. The queue is in the order of claimedMS, since log time
// never decreases.
type expiry struct {
	id        ID
	claimedMS int64
}

// logState is the state of a partition after a prefix of its log. It depends on
// nothing else: the same batches give the same state on every VM.
type logState struct {
	// next is the sequence number of the next batch.
	next uint64
	// timeMS is the log time, in Unix milliseconds. Records claimed before horizonMS are removed.
	timeMS, horizonMS int64
	// archived and trimmed have the meaning of the fields of pb.ClaimBatch.
	archived, trimmed uint64
	records           map[ID]*record
	expiries          []expiry
}

func newLogState() *logState {
	return &logState{records: make(map[ID]*record)}
}

// apply advances the state by the batch, whose sequence number must be s.next.
func (s *logState) apply(b *pb.ClaimBatch) {
	s.next = b.Seq + 1
	s.timeMS = max(s.timeMS, b.TimeMs)
	s.horizonMS = max(s.horizonMS, b.HorizonMs)
	s.archived = max(s.archived, b.Archived)
	s.trimmed = max(s.trimmed, b.Trimmed)
	s.expire()
	for _, op := range b.Ops {
		s.applyOp(op)
	}
}

// expire removes the records that were claimed before the horizon.
func (s *logState) expire() {
	for len(s.expiries) > 0 && s.expiries[0].claimedMS < s.horizonMS {
		e := s.expiries[0]
		s.expiries = s.expiries[1:]
		if r := s.records[e.id]; r != nil && r.claimedMS == e.claimedMS {
			delete(s.records, e.id)
		}
	}
}

func (s *logState) applyOp(op *pb.ClaimOp) {
	if len(op.Id) != len(ID{}) || len(op.Attempt) != len(Attempt{}) {
		return
	}
	id, attempt := ID(op.Id), Attempt(op.Attempt)
	switch op.Kind {
	case pb.ClaimOpKind_CLAIM_OP_KIND_CLAIM:
		s.applyClaim(id, attempt, op)
	case pb.ClaimOpKind_CLAIM_OP_KIND_RELEASE:
		s.applyRelease(id, attempt)
	case pb.ClaimOpKind_CLAIM_OP_KIND_FINISH:
		s.applyFinish(id, attempt, op.Answer)
	case pb.ClaimOpKind_CLAIM_OP_KIND_DOUBT:
		if r := s.records[id]; r != nil && r.attempt == attempt && r.state == stateClaimed {
			r.state = stateDoubt
		}
	}
}

// applyClaim assigns the key to the attempt if the key is unclaimed or released, so
// that the first attempt wins. A released attempt cannot claim again.
func (s *logState) applyClaim(id ID, attempt Attempt, op *pb.ClaimOp) {
	r := &record{attempt: attempt, state: stateClaimed}
	if earlier := s.records[id]; earlier != nil {
		if earlier.state != stateReleased || earlier.hasReleased(attempt) {
			return
		}
		r.released = earlier.released
	}
	copy(r.fingerprint[:], op.Fingerprint)
	r.runUntilMS = s.timeMS + int64(op.RunMs)
	s.insert(id, r)
}

// applyRelease releases the attempt's claim. It records the attempt as released even
// if it holds no claim, so that a claim which arrives later has no effect.
func (s *logState) applyRelease(id ID, attempt Attempt) {
	r := s.records[id]
	if r == nil {
		r = &record{state: stateReleased}
		s.insert(id, r)
	}
	if r.attempt != attempt {
		r.addReleased(attempt)
		return
	}
	if r.state == stateClaimed {
		r.state = stateReleased
		r.addReleased(attempt)
	}
}

func (s *logState) applyFinish(id ID, attempt Attempt, answer *pb.ClaimAnswer) {
	r := s.records[id]
	if r == nil || r.attempt != attempt || answer == nil {
		return
	}
	if r.state == stateClaimed || r.state == stateDoubt {
		r.state = stateDone
		r.answer = answer
	}
}

func (s *logState) insert(id ID, r *record) {
	r.claimedMS = s.timeMS
	s.records[id] = r
	s.expiries = append(s.expiries, expiry{id, r.claimedMS})
}

// addMissing adds the records of an earlier state that this one lacks.
func (s *logState) addMissing(earlier *logState) {
	for id, r := range earlier.records {
		if s.records[id] == nil {
			s.insert(id, r)
		}
	}
}

// verdict is how far the state decides an operation.
type verdict uint8

const (
	// verdictWrite means that the operation must be appended to the log.
	verdictWrite verdict = iota
	// verdictFinal means that later batches cannot change the reply.
	verdictFinal
	// verdictProvisional means that a batch not yet read may change the reply.
	verdictProvisional
)

// lookup returns the record of the key, or nil if there is none or it was claimed before horizonMS.
func (s *logState) lookup(id ID, horizonMS int64) *record {
	r := s.records[id]
	if r == nil || r.claimedMS < horizonMS {
		return nil
	}
	return r
}

// decideClaim decides a claim at the wall clock time nowMS.
func (s *logState) decideClaim(op *pb.ClaimOp, nowMS, horizonMS int64) (DecisionKind, *pb.ClaimAnswer, verdict) {
	attempt := Attempt(op.Attempt)
	r := s.lookup(ID(op.Id), horizonMS)
	switch {
	case r == nil:
		return 0, nil, verdictWrite
	case r.hasReleased(attempt):
		return Abandoned, nil, verdictFinal
	case r.state == stateReleased:
		return 0, nil, verdictWrite
	case r.state == stateClaimed && r.attempt == attempt:
		return Run, nil, verdictFinal
	case r.fingerprint != Fingerprint(op.Fingerprint):
		return Mismatch, nil, verdictProvisional
	case r.state == stateDone:
		return Replay, r.answer, verdictFinal
	case r.state == stateClaimed && nowMS < r.runUntilMS:
		return InProgress, nil, verdictProvisional
	default:
		return InDoubt, nil, verdictProvisional
	}
}

// decideUpdate decides a finish, doubt or release operation; ok is true if the log reflects it.
func (s *logState) decideUpdate(op *pb.ClaimOp, horizonMS int64) (ok bool, v verdict) {
	r := s.lookup(ID(op.Id), horizonMS)
	if op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_RELEASE {
		return decideRelease(r, op)
	}
	sameAttempt := r != nil && r.attempt == Attempt(op.Attempt)
	switch {
	case !sameAttempt || r.state == stateReleased:
		return false, verdictProvisional
	case r.state == stateDone:
		return true, verdictFinal
	case r.state == stateDoubt && op.Kind == pb.ClaimOpKind_CLAIM_OP_KIND_DOUBT:
		return true, verdictFinal
	default:
		return false, verdictWrite
	}
}

// decideRelease decides a release of r's key; it refuses only an attempt that has an outcome.
func decideRelease(r *record, op *pb.ClaimOp) (ok bool, v verdict) {
	attempt := Attempt(op.Attempt)
	switch {
	case r == nil:
		return false, verdictWrite
	case r.hasReleased(attempt):
		return true, verdictFinal
	case r.attempt == attempt && r.state != stateClaimed:
		return false, verdictFinal
	default:
		return false, verdictWrite
	}
}
