package allotment

// rules switches single rules of the protocol off. The zero value is correct;
// tests set a switch to show that its rule is needed.
type rules struct {
	skipEmptyStart     bool // a share that starts or grows is full at once
	termFromAnswer     bool // a term counts from the receipt of the answer
	ignoreEpoch        bool // answers of lower epochs and to requests before a resync are accepted
	lendUncounted      bool // lent tokens are not counted against the lender's burst
	reclaimWithoutWait bool // shares of silent holders are given again at once
	growBeforeConfirm  bool // a reduced share is given again before its holder confirmed
	openWithoutWait    bool // a new leader gives out unreported shares at once
	ignoreEnd          bool // renewals outlast the domain's right to its extra share
	reclaimUnfenced    bool // extra shares are reclaimed without waiting for their term
	ignoreLostWrite    bool // a reduction whose answer was lost counts as not done
	lowerWithoutShrink bool // a lower rate counts as in force before all shrank
}
