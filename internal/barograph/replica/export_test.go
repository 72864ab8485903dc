package replica

// Flaws are defects that a replica can be given, to test the tests.
type Flaws = flaws

// The flaws, one at a time.
var (
	FlawAnswerEarly   = Flaws{answerEarly: true}
	FlawCachedLease   = Flaws{cachedLease: true}
	FlawCountOldTerms = Flaws{countOldTerms: true}
	FlawNoRefusal     = Flaws{noRefusal: true}
	FlawVouchUnleased = Flaws{vouchUnleased: true}
	FlawAnyLife       = Flaws{anyLife: true}
)

// SetFlaws gives the replica defects.
func (r *Replica) SetFlaws(defects Flaws) { r.flaws = defects }

// SetBounds makes the replica keep tail entries before a snapshot, and send batch entries, or so
// many bytes of a state, at once.
func (r *Replica) SetBounds(tail uint64, batch int, part uint64) {
	r.tail, r.batch, r.part = tail, batch, part
}
