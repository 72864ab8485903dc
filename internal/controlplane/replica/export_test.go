package replica

// InjectedDefects are bugs that a replica can be given to verify that the tests detect them.
type InjectedDefects = injectedDefects

// The injected defects, one at a time.
var (
	DefectReplyBeforeWrite  = InjectedDefects{replyBeforeWrite: true}
	DefectCachedLease       = InjectedDefects{cachedLease: true}
	DefectCountOldTerms     = InjectedDefects{countOldTerms: true}
	DefectIgnoreLease       = InjectedDefects{ignoreLease: true}
	DefectProveWithoutLease = InjectedDefects{proveWithoutLease: true}
	DefectAnyIncarnation    = InjectedDefects{anyIncarnation: true}
)

// SetDefects injects defects into the replica.
func (r *Replica) SetDefects(defects InjectedDefects) { r.defects = defects }

// SetBounds makes the replica keep tailEntries entries before a snapshot, and send at most batchEntries entries,
// or chunkBytes bytes of a state, in one message.
func (r *Replica) SetBounds(tailEntries uint64, batchEntries int, chunkBytes uint64) {
	r.tailEntries, r.batchEntries, r.chunkBytes = tailEntries, batchEntries, chunkBytes
}
