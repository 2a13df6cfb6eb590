package once

// Quorum is how many of the keepers of a key must record a start before it may run, and how many must have
// answered before an earlier run can be excluded. A start is recorded by two keepers at least and a reader misses
// one at most, so that both share a keeper, also when the earlier run's host did not know of newer keepers yet.
type Quorum struct {
	Keepers int // that may hold a record, lost ones included
	Write   int
	Read    int
}

// NewQuorum returns the quorum for so many keepers.
func NewQuorum(keepers int) Quorum {
	return Quorum{Keepers: keepers, Write: keepers/2 + 1, Read: max(keepers-1, 1)}
}

// Verdict is what the keepers' answers allow.
type Verdict int

const (
	// MayRun means that the start is recorded and no earlier run exists.
	MayRun Verdict = iota
	// Answered means that an earlier run has an outcome to give.
	Answered
	// InProgress means that an earlier run has not ended, or its host was lost while it ran.
	InProgress
	// Lost means that too few keepers answered to exclude an earlier run.
	Lost
	// Short means that no earlier run exists but too few keepers recorded the start.
	Short
	// Ended means that an earlier run was started and its outcome will never be known.
	Ended
)

// Decide weighs the answers of the keepers that could be reached.
func (q Quorum) Decide(answers []Record) (Verdict, Record) {
	fresh := 0
	var running, ended *Record
	for i := range answers {
		switch answers[i].State {
		case Done:
			return Answered, answers[i]
		case Unknown:
			ended = &answers[i]
		case Running:
			running = &answers[i]
		case Fresh:
			fresh++
		case Full:
		}
	}
	switch {
	case ended != nil:
		return Ended, *ended
	case running != nil:
		return InProgress, *running
	case len(answers) < q.Read:
		return Lost, Record{}
	case fresh < q.Write:
		return Short, Record{}
	}
	return MayRun, Record{}
}
