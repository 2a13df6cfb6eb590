// Package paths reads the paths of request targets by RFC 3986: a reserved character, such as a slash, differs from its percent-encoded form;
// any other character is the same in both forms.
package paths

import (
	"strings"
)

// Path is a path in normal form: unreserved characters are decoded, and all others that a path may not hold are encoded. Two paths are
// equivalent if their normal forms are equal. Dot segments and empty segments stay as they are.
type Path string

// Origin returns the path and the query of a request target, as they were received. Targets may also be absolute URIs.
func Origin(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, absolute := strings.Cut(target, "://")
	if !absolute {
		return target
	}
	switch start := strings.IndexAny(rest, "/?"); {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	default:
		return rest[start:]
	}
}

// Of returns the path of a request target.
func Of(target string) Path {
	path, _, _ := strings.Cut(Origin(target), "?")
	if isNormal(path) {
		return Path(path)
	}
	return normalize(path)
}

// Under reports whether the path begins with the prefix.
func (p Path) Under(prefix Path) bool { return strings.HasPrefix(string(p), string(prefix)) }

func isNormal(path string) bool {
	for i := range len(path) {
		if path[i] == '%' || !isAllowed(path[i]) {
			return false
		}
	}
	return true
}

func normalize(path string) Path {
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		c := path[i]
		encoded := c == '%' && i+2 < len(path) && isHex(path[i+1]) && isHex(path[i+2])
		if encoded {
			c = unhex(path[i+1])<<4 | unhex(path[i+2])
			i += 2
		}
		if isUnreserved(c) || !encoded && isAllowed(c) {
			out.WriteByte(c)
			continue
		}
		out.WriteByte('%')
		out.WriteByte(upperHex[c>>4])
		out.WriteByte(upperHex[c&15])
	}
	return Path(out.String())
}

const (
	upperHex = "0123456789ABCDEF"
	// reserved has the reserved characters that a path may hold, RFC 3986, 3.3.
	reserved = "/!$&'()*+,;=:@"
)

func isAllowed(c byte) bool { return isUnreserved(c) || strings.IndexByte(reserved, c) >= 0 }

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

func isHex(c byte) bool { return '0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'f' }

// unhex returns the value of a hexadecimal digit.
func unhex(c byte) byte {
	if c <= '9' {
		return c - '0'
	}
	return c | 0x20 - 'a' + 10
}
