package allotment

// mutations disables single rules of the protocol. The zero value disables none.
// Mutation tests set a field to show that the protocol is unsafe without the rule.
type mutations struct {
	skipEmptyStart         bool // a new or larger share starts with a full bucket
	leaseFromReply         bool // a lease or loan term starts at the receipt of the reply
	ignoreEpoch            bool // replies with a lower epoch, or to requests sent before a resync, are accepted
	ignoreOutstandingLoans bool // lent tokens are not counted against the lender's burst
	reclaimWithoutWait     bool // shares of silent holders are reallocated after half a lease
	growBeforeConfirm      bool // the freed amount is reallocated before the holder has confirmed the reduction
	skipRecoveryWait       bool // a new leader allocates unreported shares at once
	ignoreExtraExpiry      bool // leases of hosts outlast the lease of the domain's extra share
	fenceWithoutWait       bool // extra shares are reclaimed before their lease has expired
	forgetLostWrite        bool // a write whose response was lost is assumed to have failed
	lowerBeforeShrink      bool // a lower rate is in force before all holders have shrunk
}
