//go:build review

// Command stand2 plays the scripted cases of the second review: it starts the stand-ins of the platform's store and of the targets in
// its own process and the system's programs as processes of their own, sends requests, and checks one rule.
package main
