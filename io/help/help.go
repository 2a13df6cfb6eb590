// Package help holds the help pages that the program shows.
package help

import (
	"embed"
	"strings"

	"github.com/ansel1/merry/v2"
)

//go:embed pages/*.md
var pages embed.FS

// ErrNoPage means that there is no such page.
var ErrNoPage = merry.Sentinel("no such help page")

// Page returns a page, or the list of pages for an empty name.
func Page(name string) (string, error) {
	if name == "" {
		return list()
	}
	data, err := pages.ReadFile("pages/" + name + ".md")
	if err != nil {
		return "", merry.Prepend(ErrNoPage, name)
	}
	return string(data), nil
}

func list() (string, error) {
	entries, err := pages.ReadDir("pages")
	if err != nil {
		return "", merry.Wrap(err)
	}
	text := "pages:\n"
	for _, e := range entries {
		text += "  " + strings.TrimSuffix(e.Name(), ".md") + "\n"
	}
	return text, nil
}
