// Package help contains the help pages of the command line program.
package help

import (
	"embed"
	"strings"

	"github.com/ansel1/merry/v2"
)

//go:embed pages/*.md
var pages embed.FS

// ErrNoPage means that no help page has the given name.
var ErrNoPage = merry.Sentinel("no such help page")

// Page returns the help page with the name, or a list of all pages if the name is empty.
func Page(name string) (string, error) {
	if name == "" {
		return listPages()
	}
	data, err := pages.ReadFile("pages/" + name + ".md")
	if err != nil {
		return "", merry.Prepend(ErrNoPage, name)
	}
	return string(data), nil
}

func listPages() (string, error) {
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
