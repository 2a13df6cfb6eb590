package usage

import "jayshift/core/ident"

// Token is the number that the platform compares to tell the calls of an earlier holder of the duty from those of a later one.
type Token int64

// tokenOf returns the token of a term that began with a write of the duty key. The revision holds the era of the store, so
// that the token grows with each term, also after the store was restored from a copy.
func tokenOf(r ident.Revision) Token { return Token(r) }

// Fixed is a report whose content is final.
type Fixed struct {
	Window Window
	Body   string
}

// Record is what the store holds of the reports. A window up to Last is never given another content.
type Record struct {
	Term    ident.Revision // of the duty key when the record was written, 0 if there is no record
	Last    Window
	Pending []Fixed // the reports that are not known to be accepted, ordered by window
}

// equal reports whether two records of one term say the same.
func (r Record) equal(o Record) bool { return r.Term == o.Term && r.Last == o.Last }
