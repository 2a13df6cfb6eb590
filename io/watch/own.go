package watch

import (
	"encoding/json"
	"strings"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/store"
)

// Keys that jayshift's own hosts write.
const (
	hostPrefix  = "jayshift/hosts/"
	stagePrefix = "jayshift/moves/"
)

// HostKey returns the key under which a host states itself.
func HostKey(host ident.Host) string { return hostPrefix + string(host) }

// StageKey returns the key under which the leading host states how far the move of a service is.
func StageKey(service ident.Service) string { return stagePrefix + string(service) }

// Stage is how far the move of a service is, with its revision in the store.
type Stage struct {
	wire.Stage
	Revision ident.Revision
}

// takeOwn takes in a key that a host of jayshift wrote, and tells whether the key is one. The lock is held.
func (w *Watch) takeOwn(i Item) (own bool, err error) {
	switch {
	case strings.HasPrefix(i.Key, hostPrefix):
		host := ident.Host(strings.TrimPrefix(i.Key, hostPrefix))
		var edge wire.Edge
		if i.Deleted {
			delete(w.hosts, host)
			return true, nil
		}
		if err := json.Unmarshal(i.Value, &edge); err != nil {
			return true, merry.Wrap(err)
		}
		w.hosts[host] = edge
		return true, nil
	case strings.HasPrefix(i.Key, stagePrefix):
		service := ident.Service(strings.TrimPrefix(i.Key, stagePrefix))
		if i.Deleted {
			delete(w.stages, service)
			return true, nil
		}
		stage := Stage{Revision: i.Revision}
		if err := json.Unmarshal(i.Value, &stage.Stage); err != nil {
			return true, merry.Wrap(err)
		}
		w.stages[service] = stage
		return true, nil
	}
	return false, nil
}

// itemOf turns a key that was read into an item.
func itemOf(kv store.KV) Item {
	return Item{Key: string(kv.Key), Value: kv.Value, Revision: ident.Revision(kv.ModRevision)}
}

// eventOf turns an event of a watch into an item.
func eventOf(e store.Event) Item {
	return Item{Key: e.Key, Value: e.Value, Revision: ident.Revision(e.Revision), Deleted: e.Deleted}
}
