package feed

import "strings"

// Keys and key prefixes in the platform's store. All keys that hosts watch start with statePrefix, so that one watch is
// enough.
const (
	statePrefix        = "/jayshift/state/"
	resourcePrefix     = statePrefix + "resource/"
	verdictPrefix      = statePrefix + "verdict/"
	HeadKey            = statePrefix + "head"
	TableKey           = statePrefix + "table"
	RenewalPrefix      = "/jayshift/renewal/"
	ControllerLeaseKey = "/jayshift/controller"
)

// ResourceKey returns the store key of a resource.
func ResourceKey(kind, name string) string { return resourcePrefix + kind + "/" + name }

// VerdictKey returns the store key of the verdict on a shift's version moves.
func VerdictKey(shift string) string { return verdictPrefix + shift }

// RenewalKey returns the store key of a host's seat renewal.
func RenewalKey(host string) string { return RenewalPrefix + host }

// parseResourceKey returns the kind and name in a resource key, and false for any other key.
func parseResourceKey(key string) (kind, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, resourcePrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}
