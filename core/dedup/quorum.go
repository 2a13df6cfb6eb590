package dedup

// Quorum holds the number of keepers that must record the start of a run before the request may run, and the number
// that must answer before an earlier run can be ruled out. Keepers are the hosts that store the records of a key. With
// two keepers or more, a start is recorded by at least two of them and a read misses at most one, so the two sets
// overlap even when the earlier run's host did not know about newer keepers yet.
type Quorum struct {
	Keepers int // hosts that may hold a record, including ones that have left the fleet
	Write   int // keepers that must record a start
	Read    int // keepers that must answer
}

// NewQuorum returns the quorum for the given number of keepers.
func NewQuorum(keepers int) Quorum {
	return Quorum{Keepers: keepers, Write: keepers/2 + 1, Read: max(keepers-1, 1)}
}

// Verdict is the decision on a request, based on the keepers' answers.
type Verdict int

const (
	// MayRun means that the start is recorded and there is no earlier run: the request may run.
	MayRun Verdict = iota
	// Completed means that an earlier run ended and its outcome is recorded.
	Completed
	// InProgress means that an earlier run has not ended, or that its host failed during the run.
	InProgress
	// NoReadQuorum means that too few keepers answered to rule out an earlier run.
	NoReadQuorum
	// NoWriteQuorum means that there is no earlier run but too few keepers recorded the start.
	NoWriteQuorum
	// OutcomeUnknown means that an earlier run was started and its outcome cannot be determined.
	OutcomeUnknown
)

// Decide returns the verdict on the answers of the reachable keepers, and the record of an earlier run when there is
// one.
func (q Quorum) Decide(answers []Record) (Verdict, Record) {
	fresh := 0
	var running, unknown *Record
	for i := range answers {
		switch answers[i].State {
		case Done:
			return Completed, answers[i]
		case Unknown:
			unknown = &answers[i]
		case Running:
			running = &answers[i]
		case Fresh:
			fresh++
		case Full:
		}
	}
	switch {
	case unknown != nil:
		return OutcomeUnknown, *unknown
	case running != nil:
		return InProgress, *running
	case len(answers) < q.Read:
		return NoReadQuorum, Record{}
	case fresh < q.Write:
		return NoWriteQuorum, Record{}
	}
	return MayRun, Record{}
}
