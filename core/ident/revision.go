package ident

import (
	"cmp"

	"github.com/ansel1/merry/v2"
)

// ErrOtherEra means that the order of two writes is asked for that the store made in different eras.
var ErrOtherEra = merry.Sentinel("ident: revisions are from different eras of the store")

// Era is the number of times that the store was restored from a copy. After a restore, revisions that the store had given
// out before are given out again for other writes.
type Era int64

// Revision is the number of a write in the store, together with the era in which the host read it. As an integer, a
// revision of a later era is the larger one, so that a copy of a later era replaces one of an earlier era.
type Revision int64

// eraFactor separates the era of a revision from its number. Decimal digits keep both readable in logs.
const eraFactor = 1_000_000_000_000

// NewRevision returns the revision with a number, above 0, in an era. The number 0, for no write, has no era.
func NewRevision(era Era, number int64) Revision {
	if number == 0 {
		return 0
	}
	return Revision(int64(era)*eraFactor + number)
}

// Era returns the era in which the revision was read.
func (r Revision) Era() Era { return Era(r / eraFactor) }

// Number returns the number that the store gave the write.
func (r Revision) Number() int64 { return int64(r % eraFactor) }

// Compare returns -1, 0 or 1 if the write at r was made before, at or after the one at o. It returns ErrOtherEra if they are
// from different eras, since the store may have lost the write of the earlier era and given out its number again.
func (r Revision) Compare(o Revision) (int, error) {
	if r.Era() != o.Era() {
		return 0, ErrOtherEra
	}
	return cmp.Compare(r, o), nil
}

// FollowsInEra reports whether the write at r was made after the one at o, in the same era.
func (r Revision) FollowsInEra(o Revision) bool {
	order, err := r.Compare(o)
	return err == nil && order > 0
}
