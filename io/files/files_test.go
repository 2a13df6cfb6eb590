package files_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jayshift/core/config"
	"jayshift/core/wire"
	"jayshift/internal/seed"
	"jayshift/io/files"
)

func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

const valid = "[region r]\nrate = 5\nburst = 2\n[availability-zone z]\nregion = r\n[service s]\nprefix = /s\nversion = v1\nidempotent-paths = /s/a, /s/b\n" +
	"[team t]\nrate = 1.5\nburst = 2\n[shift x]\nservices = s\nversions = s=v2\nby = 2026-12-04T00:00:00Z\n"

// checkParse checks that parsing fails with ErrInvalid or returns resources that config.Check accepts or rejects
// without a panic.
func checkParse(t interface{ Fatalf(string, ...any) }, data []byte) {
	list, err := files.ParseINI(data)
	if err != nil {
		if !errors.Is(err, files.ErrInvalid) {
			t.Fatalf("error is not ErrInvalid: %s", err)
		}
		return
	}
	if err := config.Check(config.New(0, nil), list); err != nil && !errors.Is(err, config.ErrInvalid) {
		t.Fatalf("check error is not ErrInvalid: %s", err)
	}
}

func FuzzParseINI(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) { checkParse(t, data) })
}

func FuzzParseJSON(f *testing.F) {
	f.Add([]byte(`[{"kind":"team","name":"t","team":{"rate":1,"burst":2}}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := files.ParseJSON(data)
		if err != nil && !errors.Is(err, files.ErrInvalid) {
			t.Fatalf("error is not ErrInvalid: %s", err)
		}
		if err == nil {
			_ = config.Check(config.New(0, nil), list)
		}
	})
}

// TestParseMutated checks the parser with randomly changed bytes, for a fixed number of runs with a fixed seed.
func TestParseMutated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(valid)
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "to")
		}
		checkParse(t, data)
	})
}

// TestPrintAndParse checks that formatted resources are equal after parsing.
func TestPrintAndParse(t *testing.T) {
	is := is.New(t)
	list, err := files.ParseINI([]byte(valid))
	is.NoErr(err)
	is.NoErr(config.Check(config.New(0, nil), list))
	reparsed, err := files.ParseINI([]byte(files.Format(list)))
	is.NoErr(err)
	is.True(reflect.DeepEqual(list, reparsed))
}

func TestFaults(t *testing.T) {
	for name, text := range map[string]string{
		"no name": "[team]\nrate=1\n", "unknown kind": "[teem t]\n", "unknown field": "[team t]\nspeed=1\n",
		"not a number": "[team t]\nrate=fast\n", "not finite": "[team t]\nrate=+Inf\n", "NaN": "[team t]\nrate=NaN\n", "no section": "rate=1\n", "not a pair": "[shift x]\nversions=v2\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := files.ParseINI([]byte(text))
			is.True(errors.Is(err, files.ErrInvalid))
		})
	}
}

// TestExamples checks that the example resources of both deployments are valid.
func TestExamples(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../../examples/*/shift.ini")
	is.NoErr(err)
	is.Equal(len(paths), 2)
	for _, path := range paths {
		list, err := files.Read(path)
		is.NoErr(err)
		is.NoErr(config.Check(config.New(0, []wire.Resource{}), list))
	}
}
