// Package files parses and formats resource files, which operators keep under version control, in INI or JSON form.
package files

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"gopkg.in/ini.v1"

	"jayshift/core/config"
	"jayshift/core/wire"
)

// ErrInvalid means that a resource file cannot be read or parsed.
var ErrInvalid = merry.Sentinel("invalid resource file")

// Read reads a resource file: as JSON if its name ends in .json, else as INI. The error wraps ErrInvalid.
func Read(path string) ([]wire.Resource, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(ErrInvalid, err.Error())
	}
	if strings.HasSuffix(path, ".json") {
		return ParseJSON(data)
	}
	return ParseINI(data)
}

// ParseJSON parses a JSON list of resources. Unknown fields are errors. The error wraps ErrInvalid.
func ParseJSON(data []byte) ([]wire.Resource, error) {
	var list []wire.Resource
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&list); err != nil {
		return nil, merry.Prepend(ErrInvalid, err.Error())
	}
	return list, nil
}

// ParseINI parses one resource from each section, which has the header [kind name]. The elements of lists are separated
// by commas. Maps are lists of key=value pairs. The error wraps ErrInvalid and lists all invalid sections.
func ParseINI(data []byte) ([]wire.Resource, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, data)
	if err != nil {
		return nil, merry.Prepend(ErrInvalid, err.Error())
	}
	var list []wire.Resource
	var violations []string
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		r, err := parseSection(section)
		if err != nil {
			violations = append(violations, "["+section.Name()+"] "+err.Error())
			continue
		}
		list = append(list, r)
	}
	if len(violations) > 0 {
		return nil, merry.Prepend(ErrInvalid, strings.Join(violations, "; "))
	}
	return list, nil
}

func parseSection(section *ini.Section) (wire.Resource, error) {
	kind, name, ok := strings.Cut(section.Name(), " ")
	r := wire.Resource{Kind: kind, Name: strings.TrimSpace(name)}
	content := config.InitContent(&r)
	if !ok || content == nil {
		return r, merry.New("section header must be a known kind and a name")
	}
	fields := fieldsOf(content)
	for _, key := range section.Keys() {
		field, ok := fields[key.Name()]
		if !ok {
			return r, merry.Errorf("%s: no such field", key.Name())
		}
		if err := setField(field, key.String()); err != nil {
			return r, merry.Errorf("%s: %s", key.Name(), err.Error())
		}
	}
	return r, nil
}

// fieldsOf returns the settable fields of a resource's content by their JSON names.
func fieldsOf(content any) map[string]reflect.Value {
	v := reflect.ValueOf(content).Elem()
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = v.Field(i)
	}
	return fields
}

// setField parses the text according to the kind of the field, and sets the field.
func setField(field reflect.Value, text string) error {
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		field.SetBool(b)
		return checkValue(err, "must be true or false")
	case reflect.Int:
		n, err := strconv.Atoi(text)
		field.SetInt(int64(n))
		return checkValue(err, "must be a whole number")
	case reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		if err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
			err = strconv.ErrRange
		}
		field.SetFloat(x)
		return checkValue(err, "must be a finite number")
	case reflect.Slice:
		field.Set(reflect.ValueOf(splitList(text)))
	case reflect.Map:
		return setMap(field, text)
	default:
		return merry.Errorf("cannot be set")
	}
	return nil
}

// checkValue returns an error with the given reason in place of err, or nil if err is nil.
func checkValue(err error, reason string) error {
	if err != nil {
		return merry.New(reason)
	}
	return nil
}

func setMap(field reflect.Value, text string) error {
	m := reflect.MakeMap(field.Type())
	for _, pair := range splitList(text) {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return merry.Errorf("%q must be key=value", pair)
		}
		m.SetMapIndex(reflect.ValueOf(strings.TrimSpace(key)), reflect.ValueOf(strings.TrimSpace(value)))
	}
	field.Set(m)
	return nil
}

// splitList splits the text at commas, trims spaces and omits empty elements.
func splitList(text string) []string {
	list := []string{}
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

// Format returns the resources in INI form, in the given order. Fields with a zero value are omitted.
func Format(list []wire.Resource) string {
	var b strings.Builder
	for _, r := range list {
		content := config.ContentOf(r)
		if content == nil {
			continue
		}
		b.WriteString("[" + r.Kind + " " + r.Name + "]\n")
		fields := fieldsOf(content)
		names := make([]string, 0, len(fields))
		for name := range fields {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			if !fields[name].IsZero() {
				b.WriteString(name + " = " + formatValue(fields[name]) + "\n")
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}

// formatValue returns a field's value in the form that setField parses.
func formatValue(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Float64:
		return strconv.FormatFloat(v.Float(), 'f', -1, 64)
	case reflect.Int:
		return strconv.FormatInt(v.Int(), 10)
	case reflect.Bool:
		return strconv.FormatBool(v.Bool())
	case reflect.Slice:
		return strings.Join(v.Interface().([]string), ", ")
	case reflect.Map:
		var pairs []string
		for _, key := range v.MapKeys() {
			pairs = append(pairs, key.String()+"="+v.MapIndex(key).String())
		}
		sort.Strings(pairs)
		return strings.Join(pairs, ", ")
	}
	return v.String()
}
