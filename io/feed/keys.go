package feed

import "strings"

// Keys of the platform's store. All that hosts watch lies below watched, so that one watch serves.
const (
	watched     = "/jayshift/state/"
	resources   = watched + "resource/"
	verdicts    = watched + "verdict/"
	HeadKey     = watched + "head"
	TableKey    = watched + "table"
	RenewalKeys = "/jayshift/renewal/"
	LeaseKey    = "/jayshift/controller"
)

// ResourceKey returns the store key of a resource.
func ResourceKey(kind, name string) string { return resources + kind + "/" + name }

// VerdictKey returns the store key of the stated result of a shift's moves.
func VerdictKey(shift string) string { return verdicts + shift }

// RenewalKey returns the store key of a host's renewals.
func RenewalKey(host string) string { return RenewalKeys + host }

// splitResource returns the kind and name in a resource key.
func splitResource(key string) (kind, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, resources)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}
